package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fescueloom.schedule.ScheduleSamples.unitWithSlack;
import static org.fescueloom.schedule.ScheduleSamples.urgentUnit;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.WorkSamples;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests where urgent gangs with little slack are placed in a burst. */
class UrgentPlacementTest {
    private static final Resources SLOT = new Resources(1_000, 100, 1);
    private static final Resources NODE = SLOT.times(8);

    /** The factor by which the bound of an upstream exceeds its slowness long after a run. */
    private static final double OLD_UNCERTAINTY = new UpstreamHealth().slownessUpperBound();

    private static final double RECENT_UNCERTAINTY = 1.1;

    private static UpstreamCapacity idle(String agent, double slowness, double uncertainty) {
        return ScheduleSamples.upstream(agent, "r1", slowness, uncertainty * slowness, NODE, NODE);
    }

    private static SchedulePlan plan(WaitingUnit unit, List<UpstreamCapacity> upstreams) {
        return TaskScheduler.plan(List.of(unit), List.of(), upstreams);
    }

    private static WaitingUnit after(WaitingUnit unit, Prospect prospect, long millisSinceDue) {
        return new WaitingUnit(
                unit.job(),
                unit.occurrence(),
                unit.step(),
                unit.taskIndexes(),
                unit.spec(),
                unit.service(),
                unit.customer(),
                unit.priority(),
                prospect,
                unit.objectiveMillis(),
                millisSinceDue,
                millisSinceDue,
                unit.guaranteed(),
                unit.slackFactor(),
                unit.failedAgents(),
                unit.runningPerAgent());
    }

    @Nested
    @Group
    class UpstreamsOfAverageSpeed {
        private final StepSpec spec = WorkSamples.gang(2, SLOT.times(8));

        // Guards against urgent gangs that wait for 1.5 s beside idle upstreams of average speed:
        // the uncertain bound of an old measurement exceeded the bound of an unknown upstream.
        @Test
        void areTakenAtOnceHoweverOldTheMeasurement() {
            List<UpstreamCapacity> upstreams =
                    List.of(idle("x", 1.04, OLD_UNCERTAINTY), idle("y", 1.1, OLD_UNCERTAINTY));

            assertThat(plan(urgentUnit("j", spec), upstreams).starts()).hasSize(1);
        }

        // Guards against work that is stopped on few upstreams while others are idle.
        @Test
        void areTakenBeforeRunsAreStopped() {
            RunningUnit run = new RunningUnit("r", "c", 2, false, Map.of("z", NODE, "w", NODE), 1);
            List<UpstreamCapacity> upstreams =
                    List.of(
                            idle("x", 1.04, OLD_UNCERTAINTY),
                            idle("y", 1.1, OLD_UNCERTAINTY),
                            ScheduleSamples.upstream("z", "r1", 0.8, 0.8, Resources.NONE, NODE),
                            ScheduleSamples.upstream("w", "r1", 0.8, 0.8, Resources.NONE, NODE));

            assertThat(
                            TaskScheduler.plan(
                                            List.of(urgentUnit("j", spec)), List.of(run), upstreams)
                                    .stops())
                    .isEmpty();
        }

        @Property(seed = "67", tries = 200)
        void areTakenWhateverTheUncertainty(
                @ForAll @DoubleRange(min = 0.5, max = 1.3) double slowness,
                @ForAll @DoubleRange(min = 1.0, max = 1.5) double uncertainty) {
            List<UpstreamCapacity> upstreams =
                    List.of(idle("x", slowness, uncertainty), idle("y", slowness, uncertainty));

            assertThat(plan(urgentUnit("j", spec), upstreams).starts()).hasSize(1);
        }
    }

    @Nested
    @Group
    class SlowUpstreams {
        private final StepSpec spec = WorkSamples.gang(1, SLOT);
        private final List<UpstreamCapacity> slow = List.of(idle("x", 1.43, RECENT_UNCERTAINTY));

        @Test
        void areLeftForAShortTimeWhileTheUnitCanBeInTime() {
            assertThat(plan(urgentUnit("j", spec), slow).starts()).isEmpty();
        }

        // Guards against a wait that only makes a late result later.
        @Test
        void areTakenAtOnceByLateUnits() {
            WaitingUnit late = after(urgentUnit("j", spec), Prospect.LATE, 400);

            assertThat(plan(late, slow).starts()).hasSize(1);
        }

        @Property(seed = "67", tries = 200)
        void areTakenByAllUnitsAfterTheLongestWait(@ForAll @IntRange(max = 2) int prospect) {
            WaitingUnit unit = after(urgentUnit("j", spec), Prospect.values()[prospect], 1_500);

            assertThat(plan(unit, slow).starts()).hasSize(1);
        }
    }

    /** A wide step of small tasks comes first to a fleet of unknown speeds. */
    @Nested
    @Group
    class WideStepsOnAnUnknownFleet {
        private static final int UPSTREAMS = 58;
        private static final int RACK_SIZE = 7;

        private List<UpstreamCapacity> fleet(int upstreams) {
            return IntStream.range(0, upstreams)
                    .mapToObj(
                            i ->
                                    new UpstreamCapacity(
                                            "u%03d".formatted(i),
                                            "s",
                                            "r" + i / RACK_SIZE,
                                            Set.of(),
                                            NODE,
                                            NODE,
                                            NODE,
                                            1.0,
                                            OLD_UNCERTAINTY,
                                            true,
                                            false))
                    .toList();
        }

        // Guards against a step of 56 tasks that puts one on each upstream to measure its speed,
        // so that no rack has room for an urgent gang of tasks that need whole upstreams.
        @Test
        void leaveRoomForGangsThatNeedWholeUpstreams() {
            WaitingUnit wide = unitWithSlack("wide", 2, WorkSamples.step(56, SLOT));

            SchedulePlan plan = plan(wide, fleet(UPSTREAMS));
            Set<String> used = Set.copyOf(plan.starts().get(0).agents().values());
            assertThat(plan.starts().get(0).agents()).hasSize(56);
            List<UpstreamCapacity> left =
                    fleet(UPSTREAMS).stream().filter(u -> !used.contains(u.agent())).toList();
            StepSpec gang = WorkSamples.gang(5, NODE);
            assertThat(plan(urgentUnit("j", gang), left).starts()).hasSize(1);
        }

        @Property(seed = "67", tries = 100)
        void measureAFifthOfTheFleetButAtLeastTwelve(
                @ForAll @IntRange(min = 1, max = 300) int upstreams) {
            WaitingUnit wide = unitWithSlack("wide", 2, WorkSamples.step(upstreams, SLOT));

            assertThat(plan(wide, fleet(upstreams)).starts().get(0).agents().values())
                    .satisfies(
                            agents ->
                                    assertThat(Set.copyOf(agents))
                                            .hasSizeLessThanOrEqualTo(Math.max(12, upstreams / 5)));
        }
    }

    @Nested
    class UnitsWithoutAnEstimate {
        // Guards against a unit that takes a slow upstream as fast enough because its run time is
        // not known.
        @Test
        void doNotTakeSlowUpstreamsAtOnce() {
            StepSpec spec =
                    new StepSpec(
                            1, SLOT, 0, List.of(), true, true, "", "", 0, true, false, false, "", 0,
                            false, 0);

            assertThat(
                            plan(urgentUnit("j", spec), List.of(idle("x", 3.0, OLD_UNCERTAINTY)))
                                    .starts())
                    .isEmpty();
        }
    }

    @Nested
    @Group
    class UnitsWithSlack {
        @Test
        void doNotWaitForFastUpstreams() {
            WaitingUnit unit = unitWithSlack("j", 1, WorkSamples.gang(1, SLOT));

            assertThat(plan(unit, List.of(idle("x", 1.9, OLD_UNCERTAINTY))).starts()).hasSize(1);
        }
    }
}
