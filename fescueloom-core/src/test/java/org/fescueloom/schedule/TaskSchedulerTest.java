package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.WorkSamples;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TaskSchedulerTest {
    private static final Resources GPU = new Resources(1_000, 100, 1);
    private static final Resources NODE = new Resources(32_000, 10_000, 8);

    private static UpstreamCapacity room(String agent, String rack, Resources free) {
        return new UpstreamCapacity(
                agent, "s", rack, Set.of("a", rack), free, free, 1.0, 1.0, false, false);
    }

    private static WaitingUnit unit(String job, int priority, StepSpec spec) {
        return unit(job, priority, spec, 0);
    }

    private static WaitingUnit unit(String job, int priority, StepSpec spec, long waited) {
        List<Integer> indexes = IntStream.range(0, spec.count()).boxed().toList();
        return new WaitingUnit(
                job,
                0,
                0,
                indexes,
                spec,
                "s",
                "c",
                priority,
                Prospect.IN_TIME,
                1_000,
                waited,
                waited,
                false,
                priority == 0 ? 1.5 : 3.0,
                Set.of(),
                Map.of());
    }

    @Nested
    class Gangs {
        @Test
        void startWholeOrNotAtAll() {
            StepSpec gang = WorkSamples.gang(3, GPU.times(4));
            List<UpstreamCapacity> one = List.of(room("x", "r1", NODE));

            SchedulePlan plan = TaskScheduler.plan(List.of(unit("j", 1, gang)), List.of(), one);

            assertThat(plan.starts()).isEmpty();
        }

        @Test
        void stayInOneRackWhileTheyArePatient() {
            StepSpec gang = WorkSamples.gang(2, GPU.times(8));
            List<UpstreamCapacity> rooms =
                    List.of(room("x", "r1", NODE), room("y", "r2", NODE), room("z", "r2", NODE));

            SchedulePlan plan = TaskScheduler.plan(List.of(unit("j", 1, gang)), List.of(), rooms);

            assertThat(plan.starts().get(0).agents().values()).containsExactlyInAnyOrder("y", "z");
        }

        @Test
        void crossRacksOnlyAfterWaitingAsLongAsTheyRunAndTwoSeconds() {
            StepSpec gang = WorkSamples.gang(2, GPU.times(8));
            List<UpstreamCapacity> rooms = List.of(room("x", "r1", NODE), room("y", "r2", NODE));

            assertThat(
                            TaskScheduler.plan(List.of(unit("j", 1, gang, 1_999)), List.of(), rooms)
                                    .starts())
                    .isEmpty();
            assertThat(
                            TaskScheduler.plan(List.of(unit("j", 1, gang, 2_000)), List.of(), rooms)
                                    .starts())
                    .hasSize(1);
        }
    }

    @Nested
    class Urgent {
        private final StepSpec gang = WorkSamples.gang(2, GPU.times(8));
        private final List<UpstreamCapacity> full =
                List.of(
                        room("x", "r1", new Resources(0, 0, 0)),
                        room("y", "r1", new Resources(0, 0, 0)));

        private RunningUnit running(String id, int priority, String agent, double loss) {
            return new RunningUnit(id, "c", priority, true, Map.of(agent, NODE), loss);
        }

        /** Returns the gang as a job whose customer is guaranteed what it needs. */
        private WaitingUnit withinItsGuarantee() {
            return new WaitingUnit(
                    "j",
                    0,
                    0,
                    List.of(0, 1),
                    gang,
                    "s",
                    "c",
                    0,
                    Prospect.IN_TIME,
                    1_000,
                    0,
                    0,
                    true,
                    1.5,
                    Set.of(),
                    Map.of());
        }

        @Test
        void stopWhatIsLessUrgent() {
            List<RunningUnit> running = List.of(running("a", 1, "x", 5), running("b", 2, "y", 5));

            SchedulePlan plan = TaskScheduler.plan(List.of(unit("j", 0, gang)), running, full);

            assertThat(plan.starts()).isEmpty();
            assertThat(plan.stops()).containsExactlyInAnyOrderElementsOf(running);
        }

        @Test
        void leaveWhatIsAsUrgent() {
            List<RunningUnit> running = List.of(running("a", 0, "x", 5), running("b", 2, "y", 5));

            SchedulePlan plan = TaskScheduler.plan(List.of(unit("j", 0, gang)), running, full);

            assertThat(plan.stops()).isEmpty();
        }

        @Test
        void takeBackWhatOthersHaveBorrowed() {
            WaitingUnit within = withinItsGuarantee();
            RunningUnit borrower =
                    new RunningUnit("b", "other", 0, false, Map.of("x", NODE, "y", NODE), 5);

            assertThat(TaskScheduler.plan(List.of(within), List.of(borrower), full).stops())
                    .containsExactly(borrower);
            assertThat(
                            TaskScheduler.plan(List.of(unit("j", 0, gang)), List.of(borrower), full)
                                    .stops())
                    .isEmpty();
        }

        @Test
        void throwNoMoreWorkAwayThanTheyBringUnlessGuaranteed() {
            List<RunningUnit> dear = List.of(running("a", 1, "x", 500), running("b", 2, "y", 500));
            WaitingUnit plain = unit("j", 0, gang);
            WaitingUnit guaranteed = withinItsGuarantee();

            assertThat(plain.coreSeconds()).isLessThan(1_000);
            assertThat(TaskScheduler.plan(List.of(plain), dear, full).stops()).isEmpty();
            assertThat(TaskScheduler.plan(List.of(guaranteed), dear, full).stops()).hasSize(2);
        }

        @Test
        void takeNoMoreRoomThanTheyNeed() {
            StepSpec single = WorkSamples.gang(1, GPU.times(8));
            List<RunningUnit> running =
                    List.of(running("cheap", 2, "x", 1), running("dear", 2, "y", 100));

            SchedulePlan plan = TaskScheduler.plan(List.of(unit("j", 0, single)), running, full);

            assertThat(plan.stops()).extracting(RunningUnit::id).containsExactly("cheap");
        }

        @Test
        void keepThePromisedRoomFromOthers() {
            List<UpstreamCapacity> promised =
                    List.of(
                            new UpstreamCapacity(
                                    "x", "s", "r1", Set.of(), NODE, NODE, 1, 1, false, false),
                            new UpstreamCapacity(
                                    "y",
                                    "s",
                                    "r1",
                                    Set.of(),
                                    Resources.NONE,
                                    NODE,
                                    1,
                                    1,
                                    false,
                                    false));
            StepSpec other = WorkSamples.step(1, GPU);

            SchedulePlan plan =
                    TaskScheduler.plan(
                            List.of(unit("urgent", 0, gang), unit("late", 2, other)),
                            List.of(),
                            promised);

            assertThat(plan.starts()).isEmpty();
            assertThat(plan.stops()).isEmpty();
        }
    }

    @Nested
    class Overload {
        private WaitingUnit waiting(String job, Prospect prospect, long objective) {
            return new WaitingUnit(
                    job,
                    0,
                    0,
                    List.of(0),
                    WorkSamples.step(1, NODE),
                    "s",
                    "c",
                    1,
                    prospect,
                    objective,
                    0,
                    0,
                    false,
                    3.0,
                    Set.of(),
                    Map.of());
        }

        @Test
        void servesWhatCanBeInTimeBeforeWhatIsLate() {
            List<WaitingUnit> units =
                    List.of(
                            waiting("hopeless", Prospect.HOPELESS, 10),
                            waiting("late", Prospect.LATE, 20),
                            waiting("in-time", Prospect.IN_TIME, 30));
            List<UpstreamCapacity> rooms = List.of(room("x", "r1", NODE), room("y", "r1", NODE));

            SchedulePlan plan = TaskScheduler.plan(units, List.of(), rooms);

            assertThat(plan.starts())
                    .extracting(start -> start.unit().job())
                    .containsExactly("in-time", "late");
        }

        @Test
        void judgesByTheObjective() {
            assertThat(Prospect.of(1_000, 2_000, 2_000)).isEqualTo(Prospect.IN_TIME);
            assertThat(Prospect.of(1_000, 2_000, 4_000)).isEqualTo(Prospect.LATE);
            assertThat(Prospect.of(1_000, 2_000, 4_001)).isEqualTo(Prospect.HOPELESS);
        }
    }

    @Nested
    class UnequalUpstreams {
        private final StepSpec single = WorkSamples.step(1, GPU);
        private final List<UpstreamCapacity> rooms =
                List.of(
                        new UpstreamCapacity(
                                "fast", "s", "r1", Set.of(), NODE, NODE, 0.6, 0.6, false, false),
                        new UpstreamCapacity(
                                "slow", "s", "r1", Set.of(), NODE, NODE, 1.6, 1.6, false, false),
                        new UpstreamCapacity(
                                "crawling",
                                "s",
                                "r1",
                                Set.of(),
                                NODE,
                                NODE,
                                4.0,
                                4.0,
                                false,
                                false));

        private String placeOf(WaitingUnit unit, List<UpstreamCapacity> where) {
            return TaskScheduler.plan(List.of(unit), List.of(), where)
                    .starts()
                    .get(0)
                    .agents()
                    .get(0);
        }

        @Test
        void fastOnesServeWhatIsPressing() {
            assertThat(placeOf(unit("j", 0, single), rooms)).isEqualTo("fast");
        }

        @Test
        void otherTasksLeaveTheFastOnesAlone() {
            assertThat(placeOf(unit("j", 1, single), rooms)).isEqualTo("slow");
        }

        @Test
        void thoseKnownToBeUsualServeWhatIsPressingBeforeUnknownOnes() {
            List<UpstreamCapacity> doubtful =
                    List.of(
                            new UpstreamCapacity(
                                    "a", "s", "r1", Set.of(), NODE, NODE, 1, 1.5, false, false),
                            new UpstreamCapacity(
                                    "b", "s", "r1", Set.of(), NODE, NODE, 1, 1.1, false, false));

            assertThat(placeOf(unit("j", 0, single), doubtful)).isEqualTo("b");
        }

        @Test
        void slowOnesServeWhatIsPressingOnlyAfterAWait() {
            UpstreamCapacity slow =
                    new UpstreamCapacity(
                            "x", "s", "r1", Set.of(), NODE, NODE, 1.4, 1.7, false, false);
            Resources none = Resources.NONE;
            UpstreamCapacity full =
                    new UpstreamCapacity(
                            "y", "s", "r1", Set.of(), none, none, 0.8, 0.9, false, false);
            RunningUnit usual = new RunningUnit("u", "c", 2, true, Map.of("y", NODE), 0.5);
            WaitingUnit urgent = unit("j", 0, single);

            SchedulePlan plan =
                    TaskScheduler.plan(List.of(urgent), List.of(usual), List.of(slow, full));
            assertThat(plan.starts()).isEmpty();
            assertThat(plan.stops()).containsExactly(usual);
            assertThat(placeOf(unit("j", 0, single, 1_500), List.of(slow, full))).isEqualTo("x");
        }

        @Test
        void unprovenOnesAreTriedByOneTaskEachThatHasTimeToSpare() {
            List<UpstreamCapacity> rooms = List.of(unproven("x"), unproven("y"), unproven("z"));
            StepSpec batch = WorkSamples.step(6, GPU);

            assertThat(agentsOf(unit("j", 1, batch), rooms)).contains("x", "y", "z");
            assertThat(agentsOf(unit("j", 0, batch), rooms)).containsOnly("x");
        }

        private UpstreamCapacity unproven(String agent) {
            return new UpstreamCapacity(agent, "s", "r1", Set.of(), NODE, NODE, 1, 1, true, false);
        }

        private Collection<String> agentsOf(WaitingUnit unit, List<UpstreamCapacity> where) {
            return TaskScheduler.plan(List.of(unit), List.of(), where)
                    .starts()
                    .get(0)
                    .agents()
                    .values();
        }

        @Test
        void suspectOnesAreLeftAloneUntilNothingElseIsFound() {
            List<UpstreamCapacity> suspect =
                    List.of(
                            new UpstreamCapacity(
                                    "x", "s", "r1", Set.of(), NODE, NODE, 1, 1, false, true));

            assertThat(
                            TaskScheduler.plan(List.of(unit("j", 1, single)), List.of(), suspect)
                                    .starts())
                    .isEmpty();
            assertThat(placeOf(unit("j", 1, single, 2_001), suspect)).isEqualTo("x");
        }
    }

    @Nested
    @Group
    class Room {
        /** Whatever waits, no upstream is given more than it has. */
        @Property(tries = 300, seed = "23")
        void isNeverOverdrawn(@ForAll long seed) {
            Random random = new Random(seed);
            List<UpstreamCapacity> rooms = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                rooms.add(room("u" + i, "r" + i / 3, NODE));
            }
            List<WaitingUnit> waiting = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                Resources need = GPU.times(1 + random.nextInt(8));
                int count = 1 + random.nextInt(5);
                StepSpec spec =
                        random.nextBoolean()
                                ? WorkSamples.gang(count, need)
                                : WorkSamples.step(count, need);
                waiting.add(unit("j" + i, random.nextInt(3), spec, random.nextInt(3_000)));
            }

            SchedulePlan plan = TaskScheduler.plan(waiting, List.of(), rooms);

            Map<String, Resources> used = new HashMap<>();
            for (Assignment start : plan.starts()) {
                if (start.unit().spec().gang()) {
                    assertThat(start.agents()).hasSize(start.unit().spec().count());
                }
                start.agents()
                        .values()
                        .forEach(
                                a ->
                                        used.merge(
                                                a,
                                                start.unit().spec().reservedResources(),
                                                Resources::plus));
            }
            used.values().forEach(sum -> assertThat(sum.fitsIn(NODE)).isTrue());
        }
    }

    /** Plays rounds of a second over a rack that small tasks keep full. */
    @Nested
    class StreamOfSmallTasks {
        private static final int RUN_SECONDS = 10;
        private static final int SLOTS = 8;
        private final Map<String, long[]> ends = Map.of("x", new long[SLOTS], "y", new long[SLOTS]);

        private List<UpstreamCapacity> rooms(long now) {
            List<UpstreamCapacity> rooms = new ArrayList<>();
            ends.forEach(
                    (agent, slots) -> {
                        long busy = Arrays.stream(slots).filter(end -> end > now).count();
                        rooms.add(room(agent, "r1", NODE.minus(GPU.times(busy))));
                    });
            return rooms;
        }

        private void occupy(Assignment start, long now) {
            long[] slots = ends.get(start.agents().get(0));
            int free = 0;
            while (slots[free] > now) {
                free++;
            }
            slots[free] = now + RUN_SECONDS;
        }

        /**
         * Guards against the starvation found with incident 18: small tasks took each free slot.
         */
        @Test
        void keepsNoLargeGangWaitingLongerThanWhatRanWhenItCame() {
            WaitingUnit large = unit("large", 1, WorkSamples.gang(2, GPU.times(SLOTS)));
            StepSpec single = WorkSamples.step(1, GPU);
            long came = 15;
            long started = Long.MAX_VALUE;
            for (long now = 0; now <= came + RUN_SECONDS && started > now; now++) {
                List<WaitingUnit> waiting = new ArrayList<>();
                waiting.add(unit("small-" + now, 2, single));
                waiting.add(unit("other-" + now, 2, single));
                if (now >= came) {
                    waiting.add(large);
                }
                for (Assignment start :
                        TaskScheduler.plan(waiting, List.of(), rooms(now)).starts()) {
                    if (start.unit().equals(large)) {
                        started = now;
                    } else {
                        occupy(start, now);
                    }
                }
            }
            assertThat(started).isLessThanOrEqualTo(came + RUN_SECONDS);
        }
    }
}
