package org.fescueloom.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.RequestClaim;

/**
 * Remembers for one agent which run first claimed the identifier of a request.
 *
 * <p>The first run keeps the identifier; another one gets it only by naming the attempt of the
 * first that did not run, and only as long as the first has not recorded another attempt. Claims
 * are forgotten after a retention time. When the registry is full of younger claims, new ones are
 * refused rather than old ones forgotten.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class ClaimRegistry {
    /** How long after its start a process does not vouch for its memory, in nanoseconds. */
    public static final long VOUCH_DELAY_NANOS = 30_000_000_000L;

    private final long retentionNanos;
    private final int capacity;
    private final long vouchesFromNanos;
    private final Map<String, Held> claims = new LinkedHashMap<>();

    private record Held(RequestClaim claim, long atNanos) {}

    /**
     * Creates an empty registry.
     *
     * @param retentionNanos how long a claim is remembered, in nanoseconds; positive
     * @param capacity how many claims are remembered; positive
     * @param vouchesFromNanos the time from which the registry vouches for its memory; some time
     *     after the start of a process, since it has forgotten what came before
     * @throws IllegalArgumentException if a bound is not positive
     */
    public ClaimRegistry(long retentionNanos, int capacity, long vouchesFromNanos) {
        if (retentionNanos <= 0 || capacity <= 0) {
            throw new IllegalArgumentException("the bounds of a registry must be positive");
        }
        this.retentionNanos = retentionNanos;
        this.capacity = capacity;
        this.vouchesFromNanos = vouchesFromNanos;
    }

    /**
     * Records a claim unless another run has the identifier.
     *
     * @param claim the claim, not null; a claim of the same run replaces that of an earlier
     *     attempt, and never that of a later one, which it may have been overtaken by
     * @param nowNanos the time
     * @return whether it was granted, and the claim that holds now, never null
     * @throws SchedulerException with type {@code CLAIM_UNAVAILABLE} if there is no room; with type
     *     {@code MALFORMED_INPUT} if the attempt has another form than {@link AttemptId}
     */
    public ClaimReply claim(RequestClaim claim, long nowNanos) {
        Objects.requireNonNull(claim, "claim");
        expire(nowNanos);
        Held held = claims.get(claim.request());
        boolean vouches = nowNanos - vouchesFromNanos >= 0;
        if (held != null && !mayReplace(claim, held.claim())) {
            return new ClaimReply(false, held.claim(), vouches);
        }
        if (held == null && claims.size() >= capacity) {
            throw new SchedulerException(
                    FailureType.CLAIM_UNAVAILABLE, "no room for another claim", 1_000);
        }
        claims.remove(claim.request());
        claims.put(claim.request(), new Held(claim, nowNanos));
        return new ClaimReply(true, claim, vouches);
    }

    /**
     * Removes the claim of an attempt that was never sent; a later claim of the same run stays,
     * since a withdrawal may be overtaken by it.
     *
     * @param request the identifier of the request, not null
     * @param attempt the identifier of the attempt, not null
     * @return false if another attempt or none has the identifier
     */
    public boolean withdraw(String request, String attempt) {
        Held held = claims.get(request);
        if (held == null || !held.claim().attempt().equals(attempt)) {
            return false;
        }
        claims.remove(request);
        return true;
    }

    /**
     * Returns how many claims are remembered.
     *
     * @return the number, not negative
     */
    public int size() {
        return claims.size();
    }

    private static boolean mayReplace(RequestClaim claim, RequestClaim held) {
        if (held.run().equals(claim.run())) {
            return sequence(claim) >= sequence(held);
        }
        return held.attempt().equals(claim.replaces()) && held.digest().equals(claim.digest());
    }

    private static long sequence(RequestClaim claim) {
        return AttemptId.parse(claim.attempt()).sequence();
    }

    private void expire(long nowNanos) {
        var oldest = claims.values().iterator();
        while (oldest.hasNext() && nowNanos - oldest.next().atNanos() > retentionNanos) {
            oldest.remove();
        }
    }
}
