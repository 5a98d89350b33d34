package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueloom.job.BlockClaim;
import org.fescueloom.job.JobSpec;
import org.fescueloom.placement.PlacementPolicy.Feature;

/**
 * Carries out one planning round.
 *
 * <p>A job starts, in this order of preference: on free accelerators under its customer's
 * guarantee; on free accelerators as a borrower; under the guarantee after borrowers are stopped;
 * if urgent, after other gangs of its customer are stopped.
 */
final class PlanningRound {
    private static final int MAX_RESERVATIONS = 1;
    private static final int MAX_EVICTIONS_TRIED = 16;
    private static final int MAX_SHORTER_TRIES = 16;
    private static final int LONGER_FACTOR = 3;
    private static final int LEAST_GAIN = 2;
    private static final int MAX_SECOND_TRIES = 3;
    private static final long STOP_MILLIS = 2_000L;

    private final PlacementPolicy policy;
    private final PlanInput input;
    private final JobFeasibility feasibility;
    private final JobQueue queue;
    private final GangFitter fitter;
    private final FreeCapacity whole;
    private final FreeCapacity free;
    private final GuaranteeState guarantees;
    private final BlockClaimer claimer;
    private final RunningGangs gangs;
    private final ReservationBook reservations;
    private final EvictionSearch evictions;
    private final Compactor compactor;
    private final WaitExplainer explainer;
    private final PlanDraft draft = new PlanDraft();
    private final Map<GangShape, Boolean> heldByOpenWorkers = new HashMap<>();
    private final List<WaitingJob> undone = new ArrayList<>();
    private int shorterTries;

    /**
     * Prepares a round.
     *
     * @param policy the policy, not null
     * @param given everything that the plan depends on, not null
     */
    PlanningRound(PlacementPolicy policy, PlanInput given) {
        this.policy = policy;
        feasibility = new JobFeasibility(given.cluster().workers());
        input = withUsefulAvoidance(given);
        Topology topology = new Topology(input.cluster().workers());
        boolean guaranteed = policy.has(Feature.GUARANTEES);
        queue = new JobQueue(input, policy.has(Feature.SHORTEST_FIRST));
        fitter = new GangFitter(topology, policy.order());
        whole = FreeCapacity.whole(topology);
        free = whole.copy();
        guarantees = new GuaranteeState(topology, guaranteed ? input.customers() : List.of());
        claimer = new BlockClaimer(topology, guarantees);
        gangs = new RunningGangs(topology);
        for (Allocation allocation : input.cluster().allocations()) {
            boolean claimed = !allocation.ending() && guarantees.adopt(allocation);
            free.take(allocation.spec(), allocation.members());
            gangs.add(new RunningGang(allocation, claimed, false));
        }
        reservations = new ReservationBook(topology, fitter, free);
        evictions = new EvictionSearch(topology, fitter, free, gangs, input.nowMillis());
        compactor = new Compactor(fitter, free, evictions, input.nowMillis());
        explainer = new WaitExplainer(topology, fitter, free, gangs);
    }

    /**
     * Plans the round.
     *
     * @return the plan, never null
     */
    Plan run() {
        List<BrokenGuarantee> broken = guarantees.broken();
        if (policy.has(Feature.RESERVATION) && policy.has(Feature.SHORTEST_FIRST)) {
            queue.byArrival().stream().filter(this::needsReservation).forEach(this::reserve);
        }
        queue.byPriority().forEach(this::decide);
        for (int i = 0; i < MAX_SECOND_TRIES && !undone.isEmpty(); i++) {
            List<WaitingJob> again = List.copyOf(undone);
            undone.clear();
            again.forEach(this::decide);
        }
        if (policy.has(Feature.COMPACTION)) {
            queue.byArrival().forEach(this::compact);
        }
        return new Plan(draft.decisions(), broken);
    }

    /** Lets jobs use workers on which they failed where no others could hold them. */
    private PlanInput withUsefulAvoidance(PlanInput given) {
        List<WaitingJob> waiting =
                given.waiting().stream()
                        .map(
                                job ->
                                        job.avoidedWorkers().isEmpty()
                                                        || feasibility.isFeasible(
                                                                job.spec(), job.avoidedWorkers())
                                                ? job
                                                : job.avoidingNone())
                        .toList();
        return new PlanInput(
                given.nowMillis(), given.cluster(), waiting, given.customers(), given.runTimes());
    }

    private boolean needsReservation(WaitingJob job) {
        return reservations.size() < MAX_RESERVATIONS
                && job.totalAccelerators() > 0
                && isDue(job)
                && feasibility.isFeasible(job.spec())
                && fitter.fit(free, job.spec(), job.avoidedWorkers()).isEmpty();
    }

    private void reserve(WaitingJob job) {
        if (reservations.size() < MAX_RESERVATIONS) {
            reservations
                    .reserve(job, gangs.all(), input.nowMillis())
                    .ifPresent(
                            r -> draft.add(new ReserveGang(r.job(), r.fromMillis(), r.workers())));
        }
    }

    private void decide(WaitingJob job) {
        if (!feasibility.isFeasible(job.spec())) {
            String largest = feasibility.largestShape(job.spec()).orElse("none");
            draft.decide(new RejectJob(job.job(), largest));
        } else if (!isDue(job)) {
            waitFor(job, WaitReason.BACKOFF, job.notBeforeMillis());
        } else if (!place(job)) {
            leaveWaiting(job);
        }
    }

    private boolean place(WaitingJob job) {
        Capacity open = openTo(job);
        return claimFree(job, open)
                || borrow(job, open)
                || open != free && claimFree(job, free)
                || claimByEviction(job)
                || evictForUrgent(job)
                || evictLonger(job);
    }

    private void leaveWaiting(WaitingJob job) {
        boolean inOrder = policy.has(Feature.RESERVATION) && !policy.has(Feature.SHORTEST_FIRST);
        if (inOrder && reservations.size() == 0) {
            reserve(job);
        }
        long expected = reservations.of(job.job()).map(Reservation::fromMillis).orElse(0L);
        if (holdsOnOpenWorkers(job)) {
            draft.decide(explainer.explain(job, expected));
        } else {
            waitFor(job, WaitReason.WORKERS_OUT, 0L);
        }
    }

    private boolean holdsOnOpenWorkers(WaitingJob job) {
        return heldByOpenWorkers.computeIfAbsent(
                GangShape.of(job.spec()),
                shape -> fitter.fit(whole, job.spec(), Set.of()).isPresent());
    }

    private boolean claimFree(WaitingJob job, Capacity open) {
        if (!mayClaim(job)) {
            return false;
        }
        Optional<List<TaskPlacement>> anywhere = fitter.fit(open, job.spec(), job.avoidedWorkers());
        if (anywhere.isEmpty()) {
            return false;
        }
        if (startClaimed(job, anywhere.get())) {
            return true;
        }
        for (int[] kept : keptPlaces(job)) {
            Optional<List<TaskPlacement>> there =
                    fitter.fit(new LimitedCapacity(open, kept), job.spec(), job.avoidedWorkers());
            if (there.isPresent() && startClaimed(job, there.get())) {
                return true;
            }
        }
        return false;
    }

    /** Returns, for each block that could be claimed, how much of each worker is kept for it. */
    private List<int[]> keptPlaces(WaitingJob job) {
        List<BlockUse> covering = claimer.covering(job.spec());
        if (covering.isEmpty()) {
            return List.of(guarantees.keptFor(guarantees.blocksOf(job.spec().customer())));
        }
        return covering.stream().map(use -> guarantees.keptFor(List.of(use))).toList();
    }

    private boolean startClaimed(WaitingJob job, List<TaskPlacement> members) {
        Optional<List<BlockClaim>> claims = claimer.claim(job.spec(), members);
        claims.ifPresent(c -> start(job, members, c));
        return claims.isPresent();
    }

    private boolean borrow(WaitingJob job, Capacity open) {
        Optional<List<TaskPlacement>> members = fitter.fit(open, job.spec(), job.avoidedWorkers());
        members.ifPresent(m -> start(job, m, List.of()));
        return members.isPresent();
    }

    /** Returns what is free and not kept for another job that starts before this one ends. */
    private Capacity openTo(WaitingJob job) {
        return reservations.openUntil(job.job(), input.nowMillis() + queue.expectedMillis(job));
    }

    private boolean claimByEviction(WaitingJob job) {
        if (!mayClaim(job)) {
            return false;
        }
        Predicate<RunningGang> borrower = gang -> !gang.isClaimed();
        if (claimByEviction(job, evictions.find(job, null, borrower))) {
            return true;
        }
        return keptPlaces(job).stream()
                .anyMatch(kept -> claimByEviction(job, evictions.find(job, kept, borrower)));
    }

    private boolean claimByEviction(WaitingJob job, List<Eviction> candidates) {
        for (Eviction eviction :
                candidates.subList(0, Math.min(MAX_EVICTIONS_TRIED, candidates.size()))) {
            Optional<List<BlockClaim>> claims = claimer.claim(job.spec(), eviction.members());
            if (claims.isPresent()) {
                evict(job, eviction, claims.get(), PreemptReason.GUARANTEE_CLAIMED);
                return true;
            }
        }
        return false;
    }

    private boolean evictForUrgent(WaitingJob job) {
        if (!job.spec().urgent() || !policy.has(Feature.GUARANTEES)) {
            return false;
        }
        String customer = job.spec().customer();
        Predicate<RunningGang> ownOrdinary =
                gang ->
                        gang.allocation().spec().customer().equals(customer)
                                && !gang.allocation().spec().urgent();
        List<Eviction> candidates = evictions.find(job, null, ownOrdinary);
        if (candidates.isEmpty()) {
            return false;
        }
        Eviction eviction = candidates.get(0);
        eviction.victims().forEach(this::freeClaims);
        List<BlockClaim> claims = claimer.claim(job.spec(), eviction.members()).orElse(List.of());
        evict(job, eviction, claims, PreemptReason.URGENT_WORK);
        return true;
    }

    /** Stops longer borrowers, with a checkpoint, where that shortens the mean completion time. */
    private boolean evictLonger(WaitingJob job) {
        if (!policy.has(Feature.COMPACTION) || shorterTries >= MAX_SHORTER_TRIES) {
            return false;
        }
        shorterTries++;
        long expected = queue.expectedMillis(job);
        long saved = expectedWaitMillis(job);
        Predicate<RunningGang> longer =
                gang -> gang.isLongerThan(LONGER_FACTOR * expected, input.nowMillis());
        for (Eviction eviction : evictions.find(job, null, longer)) {
            long lost = eviction.victims().size() * (expected + RunningGang.RESTART_MILLIS);
            boolean pays = !eviction.victims().isEmpty() && saved >= LEAST_GAIN * lost;
            if (pays) {
                evict(job, eviction, List.of(), PreemptReason.SHORTER_WORK);
                return true;
            }
        }
        return false;
    }

    /** Returns how long a job is expected to wait: until the gangs that it needs have ended. */
    private long expectedWaitMillis(WaitingJob job) {
        return reservations
                .earliestStart(job, gangs.all(), input.nowMillis())
                .map(start -> start - input.nowMillis())
                .orElse(0L);
    }

    private void freeClaims(RunningGang gang) {
        if (gang.isClaimed()) {
            guarantees.free(gang.allocation().spec().customer(), gang.allocation().claims());
        }
    }

    private void evict(
            WaitingJob job, Eviction eviction, List<BlockClaim> claims, PreemptReason reason) {
        boolean atOnce = true;
        for (RunningGang victim : eviction.victims()) {
            remove(victim);
            if (victim.isFresh()) {
                undoStart(victim);
            } else {
                atOnce = false;
                if (!victim.isEnding()) {
                    String id = victim.allocation().job();
                    draft.add(new PreemptGang(id, reason, job.job()));
                }
            }
        }
        if (atOnce) {
            start(job, eviction.members(), claims);
        } else {
            free.take(job.spec(), eviction.members());
            waitFor(job, WaitReason.PREEMPTING, input.nowMillis() + STOP_MILLIS);
        }
    }

    private void remove(RunningGang gang) {
        free.give(gang.allocation().spec(), gang.allocation().members());
        gang.markGone();
    }

    /** Takes a start of this round back; the job is decided again at its end. */
    private void undoStart(RunningGang gang) {
        String id = gang.allocation().job();
        for (WaitingJob job : input.waiting()) {
            if (job.job().equals(id)) {
                undone.add(job);
                waitFor(job, WaitReason.RESERVED_FOR_OTHER, 0L);
            }
        }
    }

    private void compact(WaitingJob job) {
        Optional<Reservation> reservation = reservations.of(job.job());
        boolean waits = draft.waitsFor(job.job(), WaitReason.FRAGMENTED);
        if (reservation.isEmpty() || !waits) {
            return;
        }
        long expected = reservation.get().fromMillis();
        compactor.find(job, expected).ifPresent(moves -> move(job, moves, expected));
    }

    private void move(WaitingJob job, Eviction moves, long expectedStartMillis) {
        long saved = compactor.savedMillis(job, expectedStartMillis);
        for (RunningGang gang : moves.victims()) {
            freeClaims(gang);
            remove(gang);
            long lost = gang.lossMillis(input.nowMillis());
            draft.add(new MoveGang(gang.allocation().job(), job.job(), lost, saved));
        }
        free.take(job.spec(), moves.members());
        waitFor(job, WaitReason.PREEMPTING, input.nowMillis() + STOP_MILLIS);
    }

    private void start(WaitingJob job, List<TaskPlacement> members, List<BlockClaim> claims) {
        JobSpec spec = job.spec();
        long now = input.nowMillis();
        long end = now + queue.expectedMillis(job);
        free.take(spec, members);
        draft.decide(new StartGang(job.job(), members, claims, end));
        Allocation gang = new Allocation(job.job(), spec, members, claims, now, now, end, false);
        gangs.add(new RunningGang(gang, !claims.isEmpty(), true));
    }

    private void waitFor(WaitingJob job, WaitReason reason, long expectedStartMillis) {
        String shape = JobFeasibility.describe(job.spec());
        draft.decide(new WaitForCapacity(job.job(), reason, shape, List.of(), expectedStartMillis));
    }

    private boolean isDue(WaitingJob job) {
        return job.notBeforeMillis() <= input.nowMillis();
    }

    private boolean mayClaim(WaitingJob job) {
        boolean accelerated = job.spec().acceleratorsPerTask() > 0;
        return accelerated
                && guarantees.unclaimed(job.spec().customer()) >= job.totalAccelerators();
    }
}
