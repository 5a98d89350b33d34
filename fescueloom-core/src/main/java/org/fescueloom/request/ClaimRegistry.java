package org.fescueloom.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.RequestClaim;

/**
 * Records, at one agent, which request run first claimed a request identifier. A request run is one
 * execution of a request by an entry.
 *
 * <p>The first run keeps the identifier. Another run gets the identifier only if its claim names
 * the attempt of the first run that did not run, and only while the first run has not recorded a
 * later attempt. Claims are removed after a retention time. When the registry is full of claims
 * within the retention time, it refuses new claims instead of removing old ones.
 *
 * <p>Not thread-safe.
 */
public final class ClaimRegistry {
    /**
     * The time after the start of a process until its record of claims counts as complete, in
     * nanoseconds.
     */
    public static final long VOUCH_DELAY_NANOS = 30_000_000_000L;

    private final long retentionNanos;
    private final int capacity;
    private final long completeFromNanos;
    private final Map<String, StoredClaim> claims = new LinkedHashMap<>();

    private record StoredClaim(RequestClaim claim, long storedAtNanos) {}

    /**
     * Creates an empty registry.
     *
     * @param retentionNanos the time for which a claim is kept, in nanoseconds; positive
     * @param capacity the maximum number of claims, positive
     * @param completeFromNanos the monotonic time from which the record of claims counts as
     *     complete, in nanoseconds; later than the start of the process, because a restarted
     *     process has lost the earlier claims
     * @throws IllegalArgumentException if a bound is not positive
     */
    public ClaimRegistry(long retentionNanos, int capacity, long completeFromNanos) {
        if (retentionNanos <= 0 || capacity <= 0) {
            throw new IllegalArgumentException(
                    "retentionNanos and capacity must be positive: "
                            + retentionNanos
                            + ", "
                            + capacity);
        }
        this.retentionNanos = retentionNanos;
        this.capacity = capacity;
        this.completeFromNanos = completeFromNanos;
    }

    /**
     * Records a claim unless another run holds the identifier.
     *
     * @param claim the claim, not null; it replaces a claim of the same run for an earlier attempt,
     *     but not for a later attempt, because claims can arrive out of order
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return whether the claim was granted, and the claim that is in force now, never null
     * @throws SchedulerException with type {@code CLAIM_UNAVAILABLE} if the registry is full; with
     *     type {@code MALFORMED_INPUT} if the attempt identifier does not have the form of {@link
     *     AttemptId}
     */
    public ClaimReply claim(RequestClaim claim, long nowNanos) {
        Objects.requireNonNull(claim, "claim");
        expire(nowNanos);
        StoredClaim stored = claims.get(claim.request());
        boolean recordComplete = nowNanos - completeFromNanos >= 0;
        if (stored != null && !mayReplace(claim, stored.claim())) {
            return new ClaimReply(false, stored.claim(), recordComplete);
        }
        if (stored == null && claims.size() >= capacity) {
            // The caller may retry after 1000 ms.
            throw new SchedulerException(
                    FailureType.CLAIM_UNAVAILABLE,
                    "the claim registry is full: " + capacity + " claims",
                    1_000);
        }
        // Keeps the claims in the order of their storage times, on which expire relies.
        claims.remove(claim.request());
        claims.put(claim.request(), new StoredClaim(claim, nowNanos));
        return new ClaimReply(true, claim, recordComplete);
    }

    /**
     * Removes the claim of an attempt that was never sent. A claim of the same run for a later
     * attempt stays, because the later claim can arrive before the withdrawal.
     *
     * @param request the identifier of the request, not null
     * @param attempt the identifier of the attempt, not null
     * @return false if the identifier is not claimed or is claimed for another attempt
     */
    public boolean withdraw(String request, String attempt) {
        StoredClaim stored = claims.get(request);
        if (stored == null || !stored.claim().attempt().equals(attempt)) {
            return false;
        }
        claims.remove(request);
        return true;
    }

    /**
     * Returns the number of claims in the registry.
     *
     * @return the number, not negative
     */
    public int size() {
        return claims.size();
    }

    private static boolean mayReplace(RequestClaim claim, RequestClaim stored) {
        if (stored.run().equals(claim.run())) {
            return sequence(claim) >= sequence(stored);
        }
        return stored.attempt().equals(claim.replaces()) && stored.digest().equals(claim.digest());
    }

    private static long sequence(RequestClaim claim) {
        return AttemptId.parse(claim.attempt()).sequence();
    }

    private void expire(long nowNanos) {
        var oldest = claims.values().iterator();
        while (oldest.hasNext() && nowNanos - oldest.next().storedAtNanos() > retentionNanos) {
            oldest.remove();
        }
    }
}
