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

/** Compares the parts of the planner with naive versions that try everything. */
class NaiveComparisonTest {
    @Property(tries = 3_000, seed = "21")
    void findsALayoutExactlyWhenThereIsOne(@ForAll Random random) {
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
            boolean bound = random.nextInt(4) == 0;
            int domain = bound ? random.nextInt(domains) : LayoutItem.ANY_DOMAIN;
            items.add(new LayoutItem(block, size, domain));
        }
        boolean found = LayoutSearch.find(topology, capacity, items).isComplete();
        assertThat(found).isEqualTo(ExhaustiveLayoutSearch.exists(topology, capacity, items));
    }

    @Property(tries = 3_000, seed = "22")
    void placesAGangExactlyWhenItFits(@ForAll Random random) {
        Topology topology = new Topology(SmallClusters.workers(random));
        FreeCapacity free = FreeCapacity.ofIdleWorkers(topology);
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
            members.ifPresent(m -> assertSound(topology, free, spec, m));
        }
    }

    /** Tries every worker for every task, one after another. */
    private static boolean fitsNaively(
            Topology topology, FreeCapacity free, JobSpec spec, TopologyDomain domain, int tasks) {
        if (tasks == 0) {
            return true;
        }
        for (int worker : domain.workers()) {
            boolean room =
                    Long.bitCount(free.accelerators(worker)) >= spec.acceleratorsPerTask()
                            && free.cpus(worker) >= spec.cpus()
                            && free.memoryMb(worker) >= spec.memoryMb();
            if (room) {
                long set =
                        AcceleratorSets.lowest(
                                free.accelerators(worker), spec.acceleratorsPerTask());
                List<TaskPlacement> one =
                        List.of(
                                new TaskPlacement(
                                        0,
                                        topology.worker(worker).worker(),
                                        AcceleratorSets.indexes(set)));
                free.allocate(spec, one);
                boolean rest = fitsNaively(topology, free, spec, domain, tasks - 1);
                free.release(spec, one);
                if (rest) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Checks that no accelerator is used twice and nothing is taken that is not free. */
    private static void assertSound(
            Topology topology, FreeCapacity free, JobSpec spec, List<TaskPlacement> members) {
        assertThat(members).hasSize(spec.tasks());
        FreeCapacity left = free.copy();
        for (TaskPlacement member : members) {
            int worker = topology.indexOf(member.worker());
            long set = AcceleratorSets.of(member.accelerators());
            assertThat(Long.bitCount(set)).isEqualTo(spec.acceleratorsPerTask());
            assertThat(left.accelerators(worker) & set).isEqualTo(set);
            left.allocate(spec, List.of(member));
            assertThat(left.cpus(worker)).isNotNegative();
        }
    }
}
