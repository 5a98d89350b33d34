package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueloom.job.JobSpec;

/** Finds the gangs that can be stopped for another gang with the least lost work. */
final class EvictionSearch {
    private final Topology topology;
    private final GangFitter fitter;
    private final FreeCapacity free;
    private final RunningGangs gangs;
    private final long nowMillis;

    /**
     * Creates a search.
     *
     * @param topology the topology of the workers, not null
     * @param fitter the fitter that places the gang, not null
     * @param free the free capacity, not null; each call restores it before it returns
     * @param gangs the running gangs, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     */
    EvictionSearch(
            Topology topology,
            GangFitter fitter,
            FreeCapacity free,
            RunningGangs gangs,
            long nowMillis) {
        this.topology = topology;
        this.fitter = fitter;
        this.free = free;
        this.gangs = gangs;
        this.nowMillis = nowMillis;
    }

    /**
     * Lists eviction plans, at most one for each topology domain.
     *
     * @param job the job that needs the capacity, not null
     * @param limits the maximum number of accelerators to use on each worker; null for no limit
     * @param evictable tests whether a gang may be stopped, not null
     * @return the plans, the one with the least lost work first
     */
    List<EvictionPlan> find(WaitingJob job, int[] limits, Predicate<RunningGang> evictable) {
        Capacity view = limits == null ? free : new LimitedCapacity(free, limits);
        List<EvictionPlan> found = new ArrayList<>();
        for (TopologyDomain domain : topology.domains(job.spec().adjacency())) {
            EvictionPlan eviction = findIn(domain, job, view, evictable);
            if (eviction != null) {
                found.add(eviction);
            }
        }
        found.sort(Comparator.comparingLong(EvictionPlan::lostAcceleratorMillis));
        return found;
    }

    private EvictionPlan findIn(
            TopologyDomain domain,
            WaitingJob job,
            Capacity view,
            Predicate<RunningGang> evictable) {
        List<RunningGang> candidates = new ArrayList<>();
        for (RunningGang gang : gangs.inDomain(domain)) {
            if (evictable.test(gang)) {
                candidates.add(gang);
            }
        }
        candidates.sort(Comparator.comparingLong(g -> g.lostAcceleratorMillis(nowMillis)));
        candidates.forEach(this::release);
        List<RunningGang> victims = candidates;
        EvictionPlan plan = null;
        if (canHold(view, job, domain)) {
            victims = removeUnneededVictims(candidates, view, job, domain);
            plan = createPlan(victims, view, job, domain);
        }
        victims.forEach(this::allocate);
        return plan;
    }

    /**
     * Returns the candidates that must be stopped. Each other candidate gets its capacity back; the
     * most costly candidates are tested first.
     */
    private List<RunningGang> removeUnneededVictims(
            List<RunningGang> candidates, Capacity view, WaitingJob job, TopologyDomain domain) {
        List<RunningGang> victims = new ArrayList<>();
        for (int i = candidates.size() - 1; i >= 0; i--) {
            RunningGang gang = candidates.get(i);
            allocate(gang);
            if (!canHold(view, job, domain)) {
                release(gang);
                victims.add(gang);
            }
        }
        return victims;
    }

    private EvictionPlan createPlan(
            List<RunningGang> victims, Capacity view, WaitingJob job, TopologyDomain domain) {
        JobSpec spec = job.spec();
        Set<String> avoided = job.avoidedWorkers();
        List<TaskPlacement> members = fitter.fit(view, spec, avoided, domain).orElseThrow();
        long cost = victims.stream().mapToLong(g -> g.lostAcceleratorMillis(nowMillis)).sum();
        return new EvictionPlan(victims, members, cost);
    }

    private boolean canHold(Capacity view, WaitingJob job, TopologyDomain domain) {
        return fitter.canHold(view, job.spec(), job.avoidedWorkers(), domain);
    }

    private void release(RunningGang gang) {
        free.release(gang.allocation().spec(), gang.allocation().members());
    }

    private void allocate(RunningGang gang) {
        free.allocate(gang.allocation().spec(), gang.allocation().members());
    }
}
