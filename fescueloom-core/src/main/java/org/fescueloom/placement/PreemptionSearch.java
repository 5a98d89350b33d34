package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueloom.job.JobSpec;

/** Finds sets of gangs to preempt or move for another gang, the least lost work first. */
final class PreemptionSearch {
    private final Topology topology;
    private final GangFitter fitter;
    private final FreeCapacity freeCapacity;
    private final RunningGangs gangs;
    private final long nowMillis;

    /**
     * Creates a search.
     *
     * @param topology the topology of the workers, not null
     * @param fitter the fitter that places the gang, not null
     * @param freeCapacity the free capacity, not null; each call restores it before it returns
     * @param gangs the running gangs, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     */
    PreemptionSearch(
            Topology topology,
            GangFitter fitter,
            FreeCapacity freeCapacity,
            RunningGangs gangs,
            long nowMillis) {
        this.topology = topology;
        this.fitter = fitter;
        this.freeCapacity = freeCapacity;
        this.gangs = gangs;
        this.nowMillis = nowMillis;
    }

    /**
     * Lists preemption plans, at most one for each topology domain.
     *
     * @param job the job that needs the capacity, not null
     * @param limits the maximum number of accelerators to use on each worker; null for no limit
     * @param preemptible tests whether a gang may be preempted, not null
     * @return the plans, the one with the least lost work first
     */
    List<PreemptionPlan> find(WaitingJob job, int[] limits, Predicate<RunningGang> preemptible) {
        Capacity capacity =
                limits == null ? freeCapacity : new LimitedCapacity(freeCapacity, limits);
        List<PreemptionPlan> plans = new ArrayList<>();
        for (TopologyDomain domain : topology.domains(job.spec().adjacency())) {
            PreemptionPlan preemptionPlan = findInDomain(domain, job, capacity, preemptible);
            if (preemptionPlan != null) {
                plans.add(preemptionPlan);
            }
        }
        plans.sort(Comparator.comparingLong(PreemptionPlan::lostAcceleratorMillis));
        return plans;
    }

    /**
     * Returns the preemption plan for one topology domain; null if the domain cannot hold the job
     * even without the preemptible gangs. The capacity of the gangs is released during the search
     * and allocated again at its end.
     */
    private PreemptionPlan findInDomain(
            TopologyDomain domain,
            WaitingJob job,
            Capacity capacity,
            Predicate<RunningGang> preemptible) {
        List<RunningGang> candidates = new ArrayList<>();
        for (RunningGang gang : gangs.inDomain(domain)) {
            if (preemptible.test(gang)) {
                candidates.add(gang);
            }
        }
        candidates.sort(Comparator.comparingLong(g -> g.lostAcceleratorMillis(nowMillis)));
        candidates.forEach(this::release);
        List<RunningGang> victims = candidates;
        PreemptionPlan preemptionPlan = null;
        if (canHold(capacity, job, domain)) {
            victims = removeUnneededVictims(candidates, capacity, job, domain);
            preemptionPlan = createPlan(victims, capacity, job, domain);
        }
        victims.forEach(this::allocate);
        return preemptionPlan;
    }

    /**
     * Returns the candidates that must be preempted. Each other candidate gets its capacity back;
     * candidates that would lose the most work are tested first.
     */
    private List<RunningGang> removeUnneededVictims(
            List<RunningGang> candidates,
            Capacity capacity,
            WaitingJob job,
            TopologyDomain domain) {
        List<RunningGang> victims = new ArrayList<>();
        for (int i = candidates.size() - 1; i >= 0; i--) {
            RunningGang gang = candidates.get(i);
            allocate(gang);
            if (!canHold(capacity, job, domain)) {
                release(gang);
                victims.add(gang);
            }
        }
        return victims;
    }

    private PreemptionPlan createPlan(
            List<RunningGang> victims, Capacity capacity, WaitingJob job, TopologyDomain domain) {
        JobSpec spec = job.spec();
        Set<String> avoided = job.avoidedWorkers();
        List<TaskPlacement> members = fitter.fit(capacity, spec, avoided, domain).orElseThrow();
        long lostAcceleratorMillis =
                victims.stream().mapToLong(g -> g.lostAcceleratorMillis(nowMillis)).sum();
        return new PreemptionPlan(victims, members, lostAcceleratorMillis);
    }

    private boolean canHold(Capacity capacity, WaitingJob job, TopologyDomain domain) {
        return fitter.canHold(capacity, job.spec(), job.avoidedWorkers(), domain);
    }

    private void release(RunningGang gang) {
        freeCapacity.release(gang.allocation().spec(), gang.allocation().members());
    }

    private void allocate(RunningGang gang) {
        freeCapacity.allocate(gang.allocation().spec(), gang.allocation().members());
    }
}
