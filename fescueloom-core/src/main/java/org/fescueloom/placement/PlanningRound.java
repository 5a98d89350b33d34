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
    private static final int MAX_LONGER_GANG_SEARCHES = 16;
    private static final int MIN_LENGTH_RATIO = 3;
    private static final int MIN_GAIN_FACTOR = 2;
    private static final int MAX_RETRY_PASSES = 3;
    private static final long EXPECTED_STOP_MILLIS = 2_000L;

    private final PlacementPolicy policy;
    private final PlanInput input;
    private final JobFeasibility feasibility;
    private final JobQueue queue;
    private final GangFitter fitter;
    private final FreeCapacity idleCapacity;
    private final FreeCapacity free;
    private final GuaranteeState guarantees;
    private final BlockClaimer claimer;
    private final RunningGangs gangs;
    private final ReservationTable reservations;
    private final EvictionSearch evictions;
    private final Compactor compactor;
    private final WaitExplainer explainer;
    private final PlanBuilder planBuilder = new PlanBuilder();
    private final Map<GangShape, Boolean> openWorkersFitByShape = new HashMap<>();
    private final List<WaitingJob> revertedJobs = new ArrayList<>();
    private int longerGangSearches;

    /**
     * Prepares a round.
     *
     * @param policy the policy, not null
     * @param given everything that the plan depends on, not null
     */
    PlanningRound(PlacementPolicy policy, PlanInput given) {
        this.policy = policy;
        feasibility = new JobFeasibility(given.cluster().workers());
        input = withFeasibleAvoidance(given);
        Topology topology = new Topology(input.cluster().workers());
        boolean guaranteed = policy.has(Feature.GUARANTEES);
        queue = new JobQueue(input, policy.has(Feature.SHORTEST_FIRST));
        fitter = new GangFitter(topology, policy.order());
        idleCapacity = FreeCapacity.ofIdleWorkers(topology);
        free = idleCapacity.copy();
        guarantees = new GuaranteeState(topology, guaranteed ? input.customers() : List.of());
        claimer = new BlockClaimer(topology, guarantees);
        gangs = new RunningGangs(topology);
        for (Allocation allocation : input.cluster().allocations()) {
            boolean claimed = !allocation.stopping() && guarantees.addClaimsOf(allocation);
            free.allocate(allocation.spec(), allocation.members());
            gangs.add(new RunningGang(allocation, claimed, false));
        }
        reservations = new ReservationTable(topology, fitter, free);
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
        List<BrokenGuarantee> broken = guarantees.brokenGuarantees();
        if (policy.has(Feature.RESERVATION) && policy.has(Feature.SHORTEST_FIRST)) {
            queue.byArrival().stream().filter(this::needsReservation).forEach(this::reserve);
        }
        queue.byPriority().forEach(this::decide);
        for (int i = 0; i < MAX_RETRY_PASSES && !revertedJobs.isEmpty(); i++) {
            List<WaitingJob> again = List.copyOf(revertedJobs);
            revertedJobs.clear();
            again.forEach(this::decide);
        }
        if (policy.has(Feature.COMPACTION)) {
            queue.byArrival().forEach(this::compact);
        }
        return new Plan(planBuilder.decisions(), broken);
    }

    /** Lets jobs use workers on which they failed where no others could hold them. */
    private PlanInput withFeasibleAvoidance(PlanInput given) {
        List<WaitingJob> waiting =
                given.waiting().stream()
                        .map(
                                job ->
                                        job.avoidedWorkers().isEmpty()
                                                        || feasibility.isFeasible(
                                                                job.spec(), job.avoidedWorkers())
                                                ? job
                                                : job.withoutAvoidedWorkers())
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
                    .reserve(job, gangs.remaining(), input.nowMillis())
                    .ifPresent(
                            r ->
                                    planBuilder.addDecision(
                                            new ReserveGang(
                                                    r.job(),
                                                    r.expectedStartMillis(),
                                                    r.workers())));
        }
    }

    private void decide(WaitingJob job) {
        if (!feasibility.isFeasible(job.spec())) {
            String largest = feasibility.largestShape(job.spec()).orElse("none");
            planBuilder.setDecision(new RejectJob(job.job(), largest));
        } else if (!isDue(job)) {
            recordWait(job, WaitReason.BACKOFF, job.notBeforeMillis());
        } else if (!tryPlace(job)) {
            leaveWaiting(job);
        }
    }

    private boolean tryPlace(WaitingJob job) {
        Capacity open = unreservedFor(job);
        return claimFreeCapacity(job, open)
                || startAsBorrower(job, open)
                || open != free && claimFreeCapacity(job, free)
                || claimByEviction(job)
                || evictForUrgent(job)
                || evictLongerBorrowers(job);
    }

    private void leaveWaiting(WaitingJob job) {
        boolean inOrder = policy.has(Feature.RESERVATION) && !policy.has(Feature.SHORTEST_FIRST);
        if (inOrder && reservations.size() == 0) {
            reserve(job);
        }
        long expected =
                reservations.find(job.job()).map(Reservation::expectedStartMillis).orElse(0L);
        if (fitsOnOpenWorkers(job)) {
            planBuilder.setDecision(explainer.explain(job, expected));
        } else {
            recordWait(job, WaitReason.WORKERS_OUT, 0L);
        }
    }

    private boolean fitsOnOpenWorkers(WaitingJob job) {
        return openWorkersFitByShape.computeIfAbsent(
                GangShape.of(job.spec()),
                shape -> fitter.fit(idleCapacity, job.spec(), Set.of()).isPresent());
    }

    private boolean claimFreeCapacity(WaitingJob job, Capacity open) {
        if (!mayClaim(job)) {
            return false;
        }
        Optional<List<TaskPlacement>> anywhere = fitter.fit(open, job.spec(), job.avoidedWorkers());
        if (anywhere.isEmpty()) {
            return false;
        }
        if (startIfClaimable(job, anywhere.get())) {
            return true;
        }
        for (int[] kept : layoutLimits(job)) {
            Optional<List<TaskPlacement>> there =
                    fitter.fit(new LimitedCapacity(open, kept), job.spec(), job.avoidedWorkers());
            if (there.isPresent() && startIfClaimable(job, there.get())) {
                return true;
            }
        }
        return false;
    }

    /** Returns, for each block that could be claimed, how much of each worker is kept for it. */
    private List<int[]> layoutLimits(WaitingJob job) {
        List<BlockUsage> covering = claimer.findCoveringBlocks(job.spec());
        if (covering.isEmpty()) {
            return List.of(
                    guarantees.layoutAccelerators(guarantees.blocksOf(job.spec().customer())));
        }
        return covering.stream().map(use -> guarantees.layoutAccelerators(List.of(use))).toList();
    }

    private boolean startIfClaimable(WaitingJob job, List<TaskPlacement> members) {
        Optional<List<BlockClaim>> claims = claimer.claim(job.spec(), members);
        claims.ifPresent(c -> start(job, members, c));
        return claims.isPresent();
    }

    private boolean startAsBorrower(WaitingJob job, Capacity open) {
        Optional<List<TaskPlacement>> members = fitter.fit(open, job.spec(), job.avoidedWorkers());
        members.ifPresent(m -> start(job, m, List.of()));
        return members.isPresent();
    }

    /** Returns what is free and not kept for another job that starts before this one ends. */
    private Capacity unreservedFor(WaitingJob job) {
        return reservations.unreservedUntil(
                job.job(), input.nowMillis() + queue.expectedRunMillis(job));
    }

    private boolean claimByEviction(WaitingJob job) {
        if (!mayClaim(job)) {
            return false;
        }
        Predicate<RunningGang> borrower = gang -> !gang.hasValidClaims();
        if (claimByEviction(job, evictions.find(job, null, borrower))) {
            return true;
        }
        return layoutLimits(job).stream()
                .anyMatch(kept -> claimByEviction(job, evictions.find(job, kept, borrower)));
    }

    private boolean claimByEviction(WaitingJob job, List<EvictionPlan> candidates) {
        for (EvictionPlan eviction :
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
        List<EvictionPlan> candidates = evictions.find(job, null, ownOrdinary);
        if (candidates.isEmpty()) {
            return false;
        }
        EvictionPlan eviction = candidates.get(0);
        eviction.victims().forEach(this::releaseClaims);
        List<BlockClaim> claims = claimer.claim(job.spec(), eviction.members()).orElse(List.of());
        evict(job, eviction, claims, PreemptReason.URGENT_WORK);
        return true;
    }

    /** Stops longer borrowers, with a checkpoint, where that shortens the mean completion time. */
    private boolean evictLongerBorrowers(WaitingJob job) {
        if (!policy.has(Feature.COMPACTION) || longerGangSearches >= MAX_LONGER_GANG_SEARCHES) {
            return false;
        }
        longerGangSearches++;
        long expected = queue.expectedRunMillis(job);
        long saved = expectedWaitMillis(job);
        Predicate<RunningGang> longer =
                gang -> gang.canYieldToShorterJob(MIN_LENGTH_RATIO * expected, input.nowMillis());
        for (EvictionPlan eviction : evictions.find(job, null, longer)) {
            long lost = eviction.victims().size() * (expected + RunningGang.RESUME_COST_MILLIS);
            boolean pays = !eviction.victims().isEmpty() && saved >= MIN_GAIN_FACTOR * lost;
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
                .earliestStart(job, gangs.remaining(), input.nowMillis())
                .map(start -> start - input.nowMillis())
                .orElse(0L);
    }

    private void releaseClaims(RunningGang gang) {
        if (gang.hasValidClaims()) {
            guarantees.releaseClaims(
                    gang.allocation().spec().customer(), gang.allocation().claims());
        }
    }

    private void evict(
            WaitingJob job, EvictionPlan eviction, List<BlockClaim> claims, PreemptReason reason) {
        boolean atOnce = true;
        for (RunningGang victim : eviction.victims()) {
            remove(victim);
            if (victim.isStartedThisRound()) {
                revertStart(victim);
            } else {
                atOnce = false;
                if (!victim.isStopping()) {
                    String id = victim.allocation().job();
                    planBuilder.addDecision(new PreemptGang(id, reason, job.job()));
                }
            }
        }
        if (atOnce) {
            start(job, eviction.members(), claims);
        } else {
            free.allocate(job.spec(), eviction.members());
            recordWait(job, WaitReason.PREEMPTING, input.nowMillis() + EXPECTED_STOP_MILLIS);
        }
    }

    private void remove(RunningGang gang) {
        free.release(gang.allocation().spec(), gang.allocation().members());
        gang.markRemoved();
    }

    /** Takes a start of this round back; the job is decided again at its end. */
    private void revertStart(RunningGang gang) {
        String id = gang.allocation().job();
        for (WaitingJob job : input.waiting()) {
            if (job.job().equals(id)) {
                revertedJobs.add(job);
                recordWait(job, WaitReason.RESERVED_FOR_OTHER, 0L);
            }
        }
    }

    private void compact(WaitingJob job) {
        Optional<Reservation> reservation = reservations.find(job.job());
        boolean waits = planBuilder.isWaitingFor(job.job(), WaitReason.FRAGMENTED);
        if (reservation.isEmpty() || !waits) {
            return;
        }
        long expected = reservation.get().expectedStartMillis();
        compactor.findMoves(job, expected).ifPresent(moves -> moveGangs(job, moves, expected));
    }

    private void moveGangs(WaitingJob job, EvictionPlan moves, long expectedStartMillis) {
        long saved = compactor.savedAcceleratorMillis(job, expectedStartMillis);
        for (RunningGang gang : moves.victims()) {
            releaseClaims(gang);
            remove(gang);
            long lost = gang.lostAcceleratorMillis(input.nowMillis());
            planBuilder.addDecision(new MoveGang(gang.allocation().job(), job.job(), lost, saved));
        }
        free.allocate(job.spec(), moves.members());
        recordWait(job, WaitReason.PREEMPTING, input.nowMillis() + EXPECTED_STOP_MILLIS);
    }

    private void start(WaitingJob job, List<TaskPlacement> members, List<BlockClaim> claims) {
        JobSpec spec = job.spec();
        long now = input.nowMillis();
        long end = now + queue.expectedRunMillis(job);
        free.allocate(spec, members);
        planBuilder.setDecision(new StartGang(job.job(), members, claims, end));
        Allocation gang = new Allocation(job.job(), spec, members, claims, now, now, end, false);
        gangs.add(new RunningGang(gang, !claims.isEmpty(), true));
    }

    private void recordWait(WaitingJob job, WaitReason reason, long expectedStartMillis) {
        String shape = JobFeasibility.describe(job.spec());
        planBuilder.setDecision(
                new WaitForCapacity(job.job(), reason, shape, List.of(), expectedStartMillis));
    }

    private boolean isDue(WaitingJob job) {
        return job.notBeforeMillis() <= input.nowMillis();
    }

    private boolean mayClaim(WaitingJob job) {
        boolean accelerated = job.spec().acceleratorsPerTask() > 0;
        return accelerated
                && guarantees.unclaimedAccelerators(job.spec().customer())
                        >= job.totalAccelerators();
    }
}
