package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueloom.job.JobSpec;

/** Finds gangs whose end makes room for another gang at the least loss. */
final class EvictionSearch {
    private final Topology topology;
    private final GangFitter fitter;
    private final FreeCapacity free;
    private final RunningGangs gangs;
    private final long nowMillis;

    /**
     * Creates a search.
     *
     * @param topology the workers, not null
     * @param fitter places the gang, not null
     * @param free what is free; unchanged after each call, not null
     * @param gangs what runs, not null
     * @param nowMillis the time, in milliseconds since the epoch
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
     * Lists ways to make room, one for each domain that can hold the gang at all.
     *
     * @param job the job that needs the room, not null
     * @param limits the most accelerators to use of each worker; null for no limit
     * @param evictable says which gangs may be stopped, not null
     * @return the ways, the least loss first
     */
    List<Eviction> find(WaitingJob job, int[] limits, Predicate<RunningGang> evictable) {
        Capacity view = limits == null ? free : new LimitedCapacity(free, limits);
        List<Eviction> found = new ArrayList<>();
        for (Domain domain : topology.domains(job.spec().adjacency())) {
            Eviction eviction = findIn(domain, job, view, evictable);
            if (eviction != null) {
                found.add(eviction);
            }
        }
        found.sort(Comparator.comparingLong(Eviction::costMillis));
        return found;
    }

    private Eviction findIn(
            Domain domain, WaitingJob job, Capacity view, Predicate<RunningGang> evictable) {
        List<RunningGang> candidates = new ArrayList<>();
        for (RunningGang gang : gangs.in(domain)) {
            if (evictable.test(gang)) {
                candidates.add(gang);
            }
        }
        candidates.sort(Comparator.comparingLong(g -> g.lossMillis(nowMillis)));
        candidates.forEach(this::give);
        List<RunningGang> victims = candidates;
        Eviction eviction = null;
        if (holds(view, job, domain)) {
            victims = spare(candidates, view, job, domain);
            eviction = eviction(victims, view, job, domain);
        }
        victims.forEach(this::take);
        return eviction;
    }

    /** Takes back every gang that need not be stopped, the most costly first. */
    private List<RunningGang> spare(
            List<RunningGang> candidates, Capacity view, WaitingJob job, Domain domain) {
        List<RunningGang> victims = new ArrayList<>();
        for (int i = candidates.size() - 1; i >= 0; i--) {
            RunningGang gang = candidates.get(i);
            take(gang);
            if (!holds(view, job, domain)) {
                give(gang);
                victims.add(gang);
            }
        }
        return victims;
    }

    private Eviction eviction(
            List<RunningGang> victims, Capacity view, WaitingJob job, Domain domain) {
        JobSpec spec = job.spec();
        Set<String> avoided = job.avoidedWorkers();
        List<TaskPlacement> members = fitter.fit(view, spec, avoided, domain).orElseThrow();
        long cost = victims.stream().mapToLong(g -> g.lossMillis(nowMillis)).sum();
        return new Eviction(victims, members, cost);
    }

    private boolean holds(Capacity view, WaitingJob job, Domain domain) {
        return fitter.holds(view, job.spec(), job.avoidedWorkers(), domain);
    }

    private void give(RunningGang gang) {
        free.give(gang.allocation().spec(), gang.allocation().members());
    }

    private void take(RunningGang gang) {
        free.take(gang.allocation().spec(), gang.allocation().members());
    }
}
