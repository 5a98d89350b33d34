package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;

/**
 * Selects the upstreams that may take the tasks of a waiting unit.
 *
 * <p>The required label and the size of an upstream are requirements. All else is a preference,
 * which is in force only while the unit would fit into the upstreams that meet it if they were
 * idle: a unit that fits somewhere never waits for an upstream that does not exist. Only while the
 * fleet is partly known, a gang waits for upstreams that may be better than those.
 */
final class CandidateFilter {
    /**
     * A unit is overdue, and may be placed on a slow or suspect upstream, once the time since its
     * occurrence was due exceeds this many times the estimated run time.
     */
    private static final double OVERDUE_FACTOR = 2.0;

    /**
     * How long a unit with little slack waits for a fast upstream. Less urgent runs are stopped
     * within a second, and the guarantee of a customer takes effect after three seconds.
     */
    private static final long FAST_UPSTREAM_WAIT_MILLIS = 1_500;

    /**
     * How long a unit that fits only if it uses suspect upstreams waits for them to recover; a
     * little less than the shortest time for which an upstream is suspect.
     */
    private static final long SOLE_SUSPECT_WAIT_MILLIS = 2_500;

    /**
     * An upstream whose slowness bound is at most this value is fast enough for every unit. The
     * bound of an upstream of unknown speed lies slightly below this value.
     */
    private static final double UNKNOWN_SLOWNESS_BOUND = 1.5;

    /**
     * A unit counts as in time on an upstream if it would still be after this many times its
     * expected run time. Run times on upstreams of one slowness class differ as much.
     */
    private static final double RUN_TIME_MARGIN = 1.1;

    /** Names the preferences, in the order in which they are given up. */
    private enum Preference {
        /**
         * The upstream is fast enough for a unit with little slack: the bound of its slowness is
         * within the slack of the unit, or the unit is expected to end in time there. The second
         * condition also accepts upstreams of average speed that were measured long ago, whose
         * bound is wide. Such a unit waits a short time in any case, so that it does not stop runs
         * on slow upstreams at once. A unit that is already late does not wait.
         */
        FAST {
            @Override
            boolean applies(WaitingUnit unit) {
                return unit.hasLittleSlack()
                        && unit.prospect() == Prospect.IN_TIME
                        && unit.millisSinceReady() < FAST_UPSTREAM_WAIT_MILLIS
                        && !isOverdue(unit);
            }

            @Override
            boolean accepts(WaitingUnit unit, UpstreamCapacity upstream) {
                return upstream.slownessUpperBound()
                                <= Math.max(unit.slackFactor(), UNKNOWN_SLOWNESS_BOUND)
                        || upstream.slowness() * RUN_TIME_MARGIN <= unit.tolerableSlowness();
            }

            @Override
            boolean mayBeGivenUp(WaitingUnit unit) {
                return false;
            }
        },

        /** The upstream is not suspect. */
        TRUSTED {
            @Override
            boolean applies(WaitingUnit unit) {
                return !isOverdue(unit);
            }

            @Override
            boolean accepts(WaitingUnit unit, UpstreamCapacity upstream) {
                return !upstream.suspect();
            }

            @Override
            boolean mayBeGivenUp(WaitingUnit unit) {
                return unit.millisSinceReady() >= SOLE_SUSPECT_WAIT_MILLIS;
            }
        },

        /**
         * No run of the step has failed on the upstream, however long the unit has waited: each
         * failure there takes one of the few runs that may fail. An endless step may fail without a
         * limit.
         */
        WITHOUT_FAILURE {
            @Override
            boolean applies(WaitingUnit unit) {
                return !unit.failedAgents().isEmpty() && !unit.spec().endless();
            }

            @Override
            boolean accepts(WaitingUnit unit, UpstreamCapacity upstream) {
                return !unit.failedAgents().contains(upstream.agent());
            }

            @Override
            boolean mayBeGivenUp(WaitingUnit unit) {
                return true;
            }
        };

        /** Tells whether the preference concerns a unit that has waited as long as this one. */
        abstract boolean applies(WaitingUnit unit);

        /** Tells whether an upstream meets the preference. */
        abstract boolean accepts(WaitingUnit unit, UpstreamCapacity upstream);

        /** Tells whether the preference is given up if the unit cannot fit otherwise. */
        abstract boolean mayBeGivenUp(WaitingUnit unit);

        private static boolean isOverdue(WaitingUnit unit) {
            return unit.millisSinceDue() > OVERDUE_FACTOR * unit.spec().estimateMillis();
        }
    }

    private final WaitingUnit unit;

    /** The upstreams of any rack that meet the requirements. */
    private final List<UpstreamCapacity> able = new ArrayList<>();

    /** The upstreams of any rack that meet the requirements and the preferences in force. */
    private final List<UpstreamCapacity> candidates;

    /**
     * Creates a filter.
     *
     * @param unit the waiting unit, not null
     * @param upstreams the upstreams of its service that may take tasks, not null
     * @param coverage how much of the fleet these upstreams are, not null
     */
    CandidateFilter(WaitingUnit unit, List<UpstreamCapacity> upstreams, FleetCoverage coverage) {
        this.unit = unit;
        String label = unit.spec().requiredLabel();
        for (UpstreamCapacity upstream : upstreams) {
            boolean labelled = label.isEmpty() || upstream.labels().contains(label);
            if (labelled && fits(upstream) > 0) {
                able.add(upstream);
            }
        }
        Set<Preference> inForce = EnumSet.noneOf(Preference.class);
        for (Preference preference : Preference.values()) {
            if (preference.applies(unit)) {
                inForce.add(preference);
            }
        }
        if (hasFailedOnMost()) {
            inForce.remove(Preference.WITHOUT_FAILURE);
        }
        List<UpstreamCapacity> preferred = meeting(inForce);
        for (Preference preference : Preference.values()) {
            if (!couldHold(preferred)
                    && preference.mayBeGivenUp(unit)
                    && inForce.remove(preference)) {
                preferred = meeting(inForce);
            }
        }
        preferred.removeIf(upstream -> !coverage.offers(unit, upstream));
        candidates = preferred;
    }

    private List<UpstreamCapacity> meeting(Set<Preference> preferences) {
        List<UpstreamCapacity> meeting = new ArrayList<>(able);
        for (Preference preference : preferences) {
            meeting.removeIf(upstream -> !preference.accepts(unit, upstream));
        }
        return meeting;
    }

    /** Tells whether the step has failed on more than half of the upstreams that fit its tasks. */
    private boolean hasFailedOnMost() {
        long failed = able.stream().filter(u -> unit.failedAgents().contains(u.agent())).count();
        return 2 * failed > able.size();
    }

    /**
     * Returns the upstreams that may take the tasks, in a rack, or in any rack if {@code rack} is
     * null.
     */
    List<UpstreamCapacity> candidates(String rack) {
        return rack == null
                ? candidates
                : candidates.stream().filter(u -> u.rack().equals(rack)).toList();
    }

    /**
     * Tells whether the unit could be placed on idle upstreams: a gang as a whole, single tasks one
     * after the other.
     */
    private boolean couldHold(List<UpstreamCapacity> upstreams) {
        long tasks = unit.spec().gang() ? unit.taskIndexes().size() : 1;
        return upstreams.stream().mapToLong(this::fits).sum() >= tasks;
    }

    /** Returns how many tasks of the unit fit into an upstream at a time. */
    private long fits(UpstreamCapacity upstream) {
        StepSpec spec = unit.spec();
        Resources need = spec.reservedResources();
        long limit = spec.maxPerUpstream() == 0 ? Long.MAX_VALUE : spec.maxPerUpstream();
        long fitting = Math.min(limit, upstream.attainable().quotient(need));
        // More than the tasks of the unit are not needed; this keeps sums from overflowing.
        return Math.min(unit.taskIndexes().size(), fitting);
    }
}
