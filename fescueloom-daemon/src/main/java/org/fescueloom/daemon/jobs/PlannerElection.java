package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.fescueloom.job.EpochClaim;
import org.fescueloom.job.EpochFold;

/**
 * Decides whether this entry should claim the planning.
 *
 * <p>The holder keeps its claim while it is alive. When it is gone, the first of the live entries
 * claims, and each further one only after some time more, so that claims seldom meet; if they do,
 * the last one in the log holds.
 */
public final class PlannerElection {
    /** The further time that each entry behind the first waits, in milliseconds. */
    public static final long TURN_DELAY_MILLIS = 1_000L;

    private final String entry;
    private final long incarnation;
    private final EpochFold epochs;
    private final Supplier<List<String>> liveEntries;
    private long vacantSinceMillis = -1L;

    /**
     * Creates the election of one entry.
     *
     * @param entry the identifier of this entry, not null
     * @param incarnation the incarnation of this entry
     * @param epochs the claims, not null
     * @param liveEntries gives the live entries that are not leaving, this one too, in an order
     *     that all share, not null
     */
    public PlannerElection(
            String entry, long incarnation, EpochFold epochs, Supplier<List<String>> liveEntries) {
        this.entry = Objects.requireNonNull(entry, "entry");
        this.incarnation = incarnation;
        this.epochs = Objects.requireNonNull(epochs, "epochs");
        this.liveEntries = Objects.requireNonNull(liveEntries, "liveEntries");
    }

    /**
     * Returns the epoch under which this entry plans.
     *
     * @return the epoch, or empty if another process holds the claim or nobody does
     */
    public Optional<Long> heldEpoch() {
        synchronized (epochs) {
            return epochs.claim().filter(c -> c.isBy(entry, incarnation)).map(c -> epochs.epoch());
        }
    }

    /**
     * Tells whether this entry should claim now.
     *
     * @param nowMillis the time now, in milliseconds of the monotonic clock
     * @return true if the holder is gone and it is this entry's turn
     */
    public boolean shouldClaim(long nowMillis) {
        List<String> live = liveEntries.get();
        int position = live.indexOf(entry);
        if (position < 0 || isHeldByLiveEntry(live)) {
            vacantSinceMillis = -1L;
            return false;
        }
        if (vacantSinceMillis < 0) {
            vacantSinceMillis = nowMillis;
        }
        return nowMillis - vacantSinceMillis >= position * TURN_DELAY_MILLIS;
    }

    /**
     * Creates the claim of this entry.
     *
     * @param nowMillis the time now, in milliseconds since the epoch
     * @return the claim, never null
     */
    public EpochClaim createClaim(long nowMillis) {
        return new EpochClaim(EpochClaim.VERSION, entry, incarnation, nowMillis);
    }

    /** An earlier incarnation of this entry is not alive, though its name is. */
    private boolean isHeldByLiveEntry(List<String> live) {
        Optional<EpochClaim> holder = epochs.claim();
        if (holder.isEmpty()) {
            return false;
        }
        EpochClaim claim = holder.get();
        return claim.entry().equals(entry)
                ? claim.incarnation() == incarnation
                : live.contains(claim.entry());
    }
}
