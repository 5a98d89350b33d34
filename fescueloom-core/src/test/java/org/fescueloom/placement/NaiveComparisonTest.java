package org.fescueloom.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.job.JobSpec;

/** Compares parts of the planner with naive implementations that try every possibility. */
class NaiveComparisonTest {
    @Property(tries = 3_000, seed = "21")
    void layoutSearchFindsALayoutExactlyWhenOneExists(@ForAll Random random) {
        Topology topology = new Topology(SmallClusters.workers(random));
        int[] capacity = new int[topology.size()];
        for (int i = 0; i < capacity.length; i++) {
            capacity[i] = random.nextInt(topology.worker(i).accelerators() + 1);
        }
        List<LayoutItem> items = new ArrayList<>();
        for (int i = 1 + random.nextInt(5); i > 0; i--) {
            int size = 1 + random.nextInt(4);
            GuaranteedBlock block =
                    new GuaranteedBlock("c", "b" + i, size, SmallClusters.adjacency(random));
            int domains = topology.domains(block.adjacency()).size();
            boolean domainFixed = random.nextInt(4) == 0;
            int domain = domainFixed ? random.nextInt(domains) : LayoutItem.ANY_DOMAIN;
            items.add(new LayoutItem(block, size, domain));
        }
        boolean found = LayoutSearch.find(topology, capacity, items).isComplete();
        assertThat(found).isEqualTo(ExhaustiveLayoutSearch.exists(topology, capacity, items));
    }

    @Property(tries = 3_000, seed = "22")
    void gangFitterPlacesAGangExactlyWhenItFits(@ForAll Random random) {
        Topology topology = new Topology(SmallClusters.workers(random));
        FreeCapacity free = FreeCapacity.allFree(topology);
        for (int i = random.nextInt(4); i > 0; i--) {
            JobSpec spec = SmallClusters.job(random, "x", 0).spec();
            new GangFitter(topology, WorkerOrder.LISTED)
                    .fit(free, spec, Set.of())
                    .ifPresent(m -> free.allocate(spec, m));
        }
        JobSpec spec = SmallClusters.job(random, "j", 0).spec();
        boolean fits =
                topology.domains(spec.adjacency()).stream()
                        .anyMatch(d -> fitsNaively(topology, free.copy(), spec, d, spec.tasks()));
        for (WorkerOrder order : WorkerOrder.values()) {
            Optional<List<TaskPlacement>> members =
                    new GangFitter(topology, order).fit(free, spec, Set.of());
            assertThat(members.isPresent()).isEqualTo(fits);
            members.ifPresent(m -> assertValidPlacement(topology, free, spec, m));
        }
    }

    /**
     * Returns whether a topology domain can hold the remaining tasks; tries every worker for every
     * task.
     */
    private static boolean fitsNaively(
            Topology topology, FreeCapacity free, JobSpec spec, TopologyDomain domain, int tasks) {
        if (tasks == 0) {
            return true;
        }
        for (int workerIndex : domain.workers()) {
            boolean hasCapacity =
                    Long.bitCount(free.accelerators(workerIndex)) >= spec.acceleratorsPerTask()
                            && free.cpus(workerIndex) >= spec.cpus()
                            && free.memoryMb(workerIndex) >= spec.memoryMb();
            if (hasCapacity) {
                long set =
                        AcceleratorSets.lowest(
                                free.accelerators(workerIndex), spec.acceleratorsPerTask());
                List<TaskPlacement> one =
                        List.of(
                                new TaskPlacement(
                                        0,
                                        topology.worker(workerIndex).worker(),
                                        AcceleratorSets.indexes(set)));
                free.allocate(spec, one);
                boolean othersFit = fitsNaively(topology, free, spec, domain, tasks - 1);
                free.release(spec, one);
                if (othersFit) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Asserts that a placement uses no accelerator twice and only free capacity. */
    private static void assertValidPlacement(
            Topology topology, FreeCapacity free, JobSpec spec, List<TaskPlacement> members) {
        assertThat(members).hasSize(spec.tasks());
        FreeCapacity remaining = free.copy();
        for (TaskPlacement member : members) {
            int workerIndex = topology.indexOf(member.worker());
            long set = AcceleratorSets.of(member.accelerators());
            assertThat(Long.bitCount(set)).isEqualTo(spec.acceleratorsPerTask());
            assertThat(remaining.accelerators(workerIndex) & set).isEqualTo(set);
            remaining.allocate(spec, List.of(member));
            assertThat(remaining.cpus(workerIndex)).isNotNegative();
        }
    }
}
