package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.fescueloom.job.EpochClaim;
import org.fescueloom.job.EpochFold;

/**
 * Decides whether this entry should claim the planner role.
 *
 * <p>The entry with the last claim in the {@code epochs} stream is the planner as long as the entry
 * is alive. If the planner is gone, the first live entry claims the role at once, and each further
 * live entry in the list waits {@link #TURN_DELAY_MILLIS} longer than the entry before it, so that
 * two entries rarely claim at the same time. If two entries do, the later claim in the stream is
 * valid.
 */
public final class PlannerElection {
    /**
     * The additional time that an entry waits for each live entry before it in the list, in
     * milliseconds.
     */
    public static final long TURN_DELAY_MILLIS = 1_000L;

    private final String entry;
    private final long incarnation;
    private final EpochFold epochs;
    private final Supplier<List<String>> liveEntries;

    /**
     * The monotonic time at which this entry found the role vacant; -1 if the role is not vacant.
     */
    private long vacantSinceMillis = -1L;

    /**
     * Creates the election of one entry.
     *
     * @param entry the identifier of this entry, not null
     * @param incarnation the incarnation of this entry, which differs after each start of the
     *     process
     * @param epochs the fold of the {@code epochs} stream, not null
     * @param liveEntries gives the identifiers of the entries that are alive and not leaving,
     *     including this entry, sorted the same way in every process, not null
     */
    public PlannerElection(
            String entry, long incarnation, EpochFold epochs, Supplier<List<String>> liveEntries) {
        this.entry = Objects.requireNonNull(entry, "entry");
        this.incarnation = incarnation;
        this.epochs = Objects.requireNonNull(epochs, "epochs");
        this.liveEntries = Objects.requireNonNull(liveEntries, "liveEntries");
    }

    /**
     * Returns the epoch of the valid claim if this incarnation of this entry made the claim.
     *
     * @return the epoch, or empty if another process made the valid claim or there is no claim
     */
    public Optional<Long> heldEpoch() {
        // The lock keeps the follower from replacing the claim between the two reads.
        synchronized (epochs) {
            return epochs.claim()
                    .filter(claim -> claim.isBy(entry, incarnation))
                    .map(claim -> epochs.epoch());
        }
    }

    /**
     * Tells whether this entry should append a claim now. Call this method periodically: it
     * remembers when the role became vacant.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     * @return true if no live entry holds the valid claim and the waiting time of this entry is
     *     over
     */
    public boolean shouldClaim(long nowMillis) {
        List<String> liveIds = liveEntries.get();
        int position = liveIds.indexOf(entry);
        if (position < 0 || isHeldByLiveEntry(liveIds)) {
            vacantSinceMillis = -1L;
            return false;
        }
        if (vacantSinceMillis < 0) {
            vacantSinceMillis = nowMillis;
        }
        return nowMillis - vacantSinceMillis >= position * TURN_DELAY_MILLIS;
    }

    /**
     * Creates a claim of this entry.
     *
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the claim, never null
     */
    public EpochClaim createClaim(long nowMillis) {
        return new EpochClaim(EpochClaim.VERSION, entry, incarnation, nowMillis);
    }

    /**
     * Tells whether a live process made the valid claim. A claim by an earlier incarnation of this
     * entry does not count, although the identifier of the entry is among the live ones.
     */
    private boolean isHeldByLiveEntry(List<String> liveIds) {
        Optional<EpochClaim> validClaim = epochs.claim();
        if (validClaim.isEmpty()) {
            return false;
        }
        EpochClaim claim = validClaim.get();
        return claim.entry().equals(entry)
                ? claim.incarnation() == incarnation
                : liveIds.contains(claim.entry());
    }
}
