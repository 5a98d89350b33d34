package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
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

class VictimSearchTest {
    private static final Resources SLOT = new Resources(1_000, 100, 1);
    private static final int SLOTS = 8;
    private static final Resources NODE = SLOT.times(SLOTS);

    private static UpstreamCapacity upstream(int number, int perRack, long freeSlots) {
        Resources free = SLOT.times(freeSlots);
        String rack = "r" + number / perRack;
        return new UpstreamCapacity(
                "u" + number, "s", rack, Set.of(rack), free, free, NODE, 1.0, 1.0, false, false);
    }

    private static WaitingUnit urgentUnit(String job, StepSpec spec, long waitedMillis) {
        return new WaitingUnit(
                job,
                0,
                0,
                IntStream.range(0, spec.count()).boxed().toList(),
                spec,
                "s",
                "c",
                TaskScheduler.PREEMPTING_PRIORITY,
                Prospect.IN_TIME,
                1_000,
                waitedMillis,
                waitedMillis,
                true,
                3.0,
                Set.of(),
                Map.of());
    }

    private static RunningUnit running(String id, String agent, double lostCoreSeconds) {
        return new RunningUnit(id, "c", 2, true, Map.of(agent, SLOT), lostCoreSeconds);
    }

    @Group
    class ChosenVictims {
        /** Returns the capacity after some running units have been stopped. */
        private List<UpstreamCapacity> stopped(
                List<UpstreamCapacity> upstreams, List<RunningUnit> victims) {
            Map<String, Resources> released = new HashMap<>();
            for (RunningUnit victim : victims) {
                victim.resources()
                        .forEach((agent, slots) -> released.merge(agent, slots, Resources::plus));
            }
            List<UpstreamCapacity> after = new ArrayList<>();
            for (UpstreamCapacity u : upstreams) {
                Resources free = u.free().plus(released.getOrDefault(u.agent(), Resources.NONE));
                after.add(
                        new UpstreamCapacity(
                                u.agent(),
                                "s",
                                u.rack(),
                                u.labels(),
                                free,
                                free,
                                NODE,
                                1,
                                1,
                                false,
                                false));
            }
            return after;
        }

        private boolean starts(WaitingUnit unit, List<UpstreamCapacity> upstreams) {
            List<Assignment> starts =
                    TaskScheduler.plan(List.of(unit), List.of(), upstreams).starts();
            return starts.size() == 1 && starts.get(0).agents().size() == unit.taskIndexes().size();
        }

        @Property(tries = 500, seed = "31")
        void areExactlyAsManyAsTheUnitNeeds(@ForAll long seed) {
            Random random = new Random(seed);
            List<UpstreamCapacity> upstreams = new ArrayList<>();
            List<RunningUnit> running = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                int busy = random.nextInt(SLOTS + 1);
                upstreams.add(upstream(i, 3, SLOTS - busy));
                for (int slot = 0; slot < busy; slot++) {
                    running.add(running("t" + i + '.' + slot, "u" + i, random.nextInt(20)));
                }
            }
            Resources need = SLOT.times(1 + random.nextInt(SLOTS));
            int count = 1 + random.nextInt(4);
            StepSpec spec =
                    random.nextBoolean()
                            ? WorkSamples.gang(count, need)
                            : WorkSamples.step(count, need);
            WaitingUnit unit = urgentUnit("j", spec, random.nextInt(3_000));

            List<RunningUnit> victims =
                    TaskScheduler.plan(List.of(unit), running, upstreams).stops();

            boolean fitsAfterAllStops = starts(unit, stopped(upstreams, running));
            boolean fitsAtOnce = starts(unit, upstreams);
            assertThat(victims.isEmpty()).isEqualTo(fitsAtOnce || !fitsAfterAllStops);
            if (!victims.isEmpty()) {
                assertThat(starts(unit, stopped(upstreams, victims))).isTrue();
                for (RunningUnit victim : victims) {
                    List<RunningUnit> others = new ArrayList<>(victims);
                    others.remove(victim);
                    assertThat(starts(unit, stopped(upstreams, others))).isFalse();
                }
            }
        }
    }

    /** An urgent gang meets racks that are full of work of different cost. */
    @Nested
    @Group
    class Racks {
        private static final int PER_RACK = 2;

        private final WaitingUnit gang = urgentUnit("j", WorkSamples.gang(PER_RACK, NODE), 0);
        private final List<UpstreamCapacity> upstreams =
                IntStream.range(0, 2 * PER_RACK).mapToObj(i -> upstream(i, PER_RACK, 0)).toList();

        private RunningUnit gangOn(String id, int priority, double loss, String... agents) {
            Map<String, Resources> resources = new HashMap<>();
            for (String agent : agents) {
                resources.put(agent, NODE);
            }
            return new RunningUnit(id, "c", priority, true, resources, loss);
        }

        private List<String> stops(List<RunningUnit> running) {
            return TaskScheduler.plan(List.of(gang), running, upstreams).stops().stream()
                    .map(RunningUnit::id)
                    .toList();
        }

        // Guards against many victims of little loss each that lose more than one other victim.
        @Test
        void areChosenByTheLossOfAllVictimsTogether() {
            List<RunningUnit> running = new ArrayList<>();
            for (int slot = 0; slot < PER_RACK * SLOTS; slot++) {
                running.add(running("t" + slot, "u" + slot / SLOTS, 10));
            }
            running.add(gangOn("g", 2, 12, "u2", "u3"));

            assertThat(stops(running)).containsExactly("g");
        }

        // Guards against the stop of a more urgent unit because it loses less.
        @Test
        void areChosenByPriorityBeforeLoss() {
            List<RunningUnit> running =
                    List.of(
                            gangOn("less-urgent", 2, 1_000, "u0", "u1"),
                            gangOn("more-urgent", 1, 1, "u2", "u3"));

            assertThat(stops(running)).containsExactly("less-urgent");
        }

        /** Compares with the least loss of all sets of victims in one rack. */
        @Property(tries = 300, seed = "67")
        void loseNoMoreThanTheVictimsOfAnyOtherRack(@ForAll long seed) {
            Random random = new Random(seed);
            List<RunningUnit> running = new ArrayList<>();
            double[] lossByRack = new double[2];
            for (int i = 0; i < 2 * PER_RACK; i++) {
                for (int slot = 0; slot < SLOTS; slot++) {
                    double loss = random.nextInt(20);
                    lossByRack[i / PER_RACK] += loss;
                    running.add(running("t" + i + '.' + slot, "u" + i, loss));
                }
            }

            double lost =
                    TaskScheduler.plan(List.of(gang), running, upstreams).stops().stream()
                            .mapToDouble(RunningUnit::lostCoreSeconds)
                            .sum();
            assertThat(lost).isEqualTo(Math.min(lossByRack[0], lossByRack[1]));
        }
    }

    /** A burst of urgent gangs meets a fleet that small tasks keep full. */
    @Nested
    class BurstOnAFullFleet {
        private static final int PER_RACK = 8;

        /** The number of urgent gangs, each of which needs a whole rack. */
        private static final int GANGS = 4;

        /** Returns how many bytes the calling thread allocates in one round. */
        private long allocatedBytes(int fleetSize) {
            List<UpstreamCapacity> upstreams = new ArrayList<>();
            List<RunningUnit> running = new ArrayList<>();
            for (int i = 0; i < fleetSize; i++) {
                upstreams.add(upstream(i, PER_RACK, 0));
                for (int slot = 0; slot < SLOTS; slot++) {
                    running.add(running("t" + i + '.' + slot, "u" + i, slot));
                }
            }
            List<WaitingUnit> gangs = new ArrayList<>();
            for (int i = 0; i < GANGS; i++) {
                gangs.add(urgentUnit("j" + i, WorkSamples.gang(PER_RACK, NODE), 0));
            }
            ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
            long thread = Thread.currentThread().getId();
            long before = threads.getThreadAllocatedBytes(thread);
            SchedulePlan plan = TaskScheduler.plan(gangs, running, upstreams);
            long allocated = threads.getThreadAllocatedBytes(thread) - before;
            assertThat(plan.stops()).hasSize(GANGS * PER_RACK * SLOTS);
            return allocated;
        }

        /**
         * A round that takes longer than the entries wait for a response costs the dispatcher its
         * claim. Allocated memory stands for the work of a round, whatever the speed of the
         * machine.
         */
        @Test
        void costsARoundThatGrowsNoFasterThanTheFleet() {
            allocatedBytes(32);
            long small = allocatedBytes(32);
            long large = allocatedBytes(320);

            assertThat(large).isLessThan(12 * small);
        }
    }
}
