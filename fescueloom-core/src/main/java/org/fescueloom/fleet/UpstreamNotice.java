package org.fescueloom.fleet;

import java.util.List;
import java.util.Objects;
import org.fescueloom.work.Resources;

/**
 * Holds what an upstream reports of itself to the agent beside it.
 *
 * @param instance its identifier, not null
 * @param bornMillis when this life of it began, in milliseconds since 1970
 * @param service the service that it runs, not null
 * @param zone the availability zone, not null
 * @param state whether it takes tasks, not null
 * @param capacity what it has, not null
 * @param labels what it is labelled with, not null
 * @param rack the rack it stands in; empty if unknown
 * @param leavesInMillis the least time left while it drains, in milliseconds
 * @param sequence grows with each report of one life
 */
public record UpstreamNotice(
        String instance,
        long bornMillis,
        String service,
        String zone,
        UpstreamState state,
        Resources capacity,
        List<String> labels,
        String rack,
        long leavesInMillis,
        long sequence) {
    /** Checks the values. */
    public UpstreamNotice {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(capacity, "capacity");
        Objects.requireNonNull(rack, "rack");
        labels = List.copyOf(labels);
    }

    /**
     * Names this life of the upstream.
     *
     * @return a name that no other life has, never null
     */
    public String boot() {
        return instance + '@' + bornMillis;
    }

    /**
     * Tells whether this report is newer than another.
     *
     * @param other the other report; null counts as older
     * @return whether it comes from a later life, or later from the same one
     */
    public boolean newerThan(UpstreamNotice other) {
        if (other == null || bornMillis != other.bornMillis) {
            return other == null || bornMillis > other.bornMillis;
        }
        return !instance.equals(other.instance) || sequence > other.sequence;
    }

    /**
     * Returns the same report with the state {@code GONE}.
     *
     * @return the changed report, never null
     */
    public UpstreamNotice withStateGone() {
        return with(bornMillis, UpstreamState.GONE, leavesInMillis, sequence);
    }

    /**
     * Returns the report of a later life of the same upstream that has said nothing else yet.
     *
     * @param newBornMillis when that life began, in milliseconds since 1970
     * @return the changed report, never null
     */
    public UpstreamNotice restartedAt(long newBornMillis) {
        return with(newBornMillis, UpstreamState.READY, 0, 0);
    }

    private UpstreamNotice with(
            long newBornMillis, UpstreamState newState, long newLeavesInMillis, long newSequence) {
        return new UpstreamNotice(
                instance,
                newBornMillis,
                service,
                zone,
                newState,
                capacity,
                labels,
                rack,
                newLeavesInMillis,
                newSequence);
    }
}
