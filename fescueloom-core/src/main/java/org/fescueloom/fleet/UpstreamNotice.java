package org.fescueloom.fleet;

import java.util.List;
import java.util.Objects;
import org.fescueloom.work.Resources;

/**
 * Holds the report of an upstream about itself to its agent.
 *
 * @param instance the identifier of the upstream, not null
 * @param bornMillis the time at which this incarnation of the upstream started, in milliseconds
 *     since 1970
 * @param service the service that the upstream runs, not null
 * @param zone the availability zone, not null
 * @param state the state, which decides whether the upstream accepts tasks, not null
 * @param capacity the capacity of the upstream, not null
 * @param labels the labels of the upstream, not null
 * @param rack the rack of the upstream, not null; empty if unknown
 * @param leavesInMillis the minimum time until the upstream leaves, in milliseconds; meaningful
 *     while it drains
 * @param sequence the sequence number, which grows with each report of one incarnation
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
    /** Checks that no reference is null and copies the labels. */
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
     * Returns the boot ID, which identifies this incarnation of the upstream.
     *
     * @return an identifier that no other incarnation has, never null
     */
    public String boot() {
        return instance + '@' + bornMillis;
    }

    /**
     * Returns the identifier of the upstream to which a boot ID belongs.
     *
     * @param boot the boot ID, not null
     * @return the identifier, which all incarnations of the upstream share; never null
     */
    public static String instanceOf(String boot) {
        int separator = boot.lastIndexOf('@');
        return separator < 0 ? boot : boot.substring(0, separator);
    }

    /**
     * Returns whether two reports describe the same kind of upstream, which does not change during
     * an incarnation.
     *
     * @param other the other report, not null
     * @return whether service, availability zone, capacity and labels are equal
     */
    public boolean describesSameKindAs(UpstreamNotice other) {
        return service.equals(other.service)
                && zone.equals(other.zone)
                && capacity.equals(other.capacity)
                && labels.equals(other.labels);
    }

    /**
     * Returns a copy of this report with another state.
     *
     * @param newState the state, not null
     * @return the copy, never null
     */
    public UpstreamNotice withState(UpstreamState newState) {
        return with(bornMillis, newState, leavesInMillis, sequence);
    }

    /**
     * Returns a report for another incarnation of the same upstream from which no report has
     * arrived yet.
     *
     * @param newBornMillis the time at which that incarnation started, in milliseconds since 1970
     * @return the report, with state {@code STARTING} and sequence number 0, never null
     */
    public UpstreamNotice restartedAt(long newBornMillis) {
        return with(newBornMillis, UpstreamState.STARTING, 0, 0);
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
