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
 * Executes one planning round.
 *
 * <p>A job starts in the first of these ways that is possible: on free accelerators under its
 * customer's guarantee; on free accelerators as a borrower; on free accelerators that are reserved
 * for another job, under the guarantee; under the guarantee after borrowers have stopped; if the
 * job is urgent, after non-urgent gangs of its customer have stopped; after longer borrowers have
 * stopped, if the policy has {@link Feature#COMPACTION}.
 */
final class PlanningRound {
    private static final int MAX_RESERVATIONS = 1;
    private static final int MAX_EVICTIONS_TRIED = 16;
    private static final int MAX_LONGER_GANG_SEARCHES = 16;

    /**
     * The minimum ratio of a borrower's remaining run time to the expected run time of a shorter
     * job for which the borrower is stopped.
     */
    private static final int MIN_LENGTH_RATIO = 3;

    /** The minimum ratio of the time that stopping borrowers saves to the time that it loses. */
    private static final int MIN_GAIN_FACTOR = 2;

    /** The maximum number of passes over jobs whose start was reverted in the same round. */
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
    private final Map<GangShape, Boolean> fitsByShape = new HashMap<>();
    private final List<WaitingJob> revertedJobs = new ArrayList<>();
    private int longerGangSearches;

    /**
     * Creates a planning round.
     *
     * @param policy the policy, not null
     * @param original the whole input of the round, not null
     */
    PlanningRound(PlacementPolicy policy, PlanInput original) {
        this.policy = policy;
        feasibility = new JobFeasibility(original.cluster().workers());
        input = withFeasibleAvoidance(original);
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
            boolean claimsValid = !allocation.stopping() && guarantees.addClaimsOf(allocation);
            free.allocate(allocation.spec(), allocation.members());
            gangs.add(new RunningGang(allocation, claimsValid, false));
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
            List<WaitingJob> retried = List.copyOf(revertedJobs);
            revertedJobs.clear();
            retried.forEach(this::decide);
        }
        if (policy.has(Feature.COMPACTION)) {
            queue.byArrival().forEach(this::compact);
        }
        return new Plan(planBuilder.decisions(), broken);
    }

    /** Lets a job use the workers on which it failed if the other workers could not hold it. */
    private PlanInput withFeasibleAvoidance(PlanInput original) {
        List<WaitingJob> waiting =
                original.waiting().stream()
                        .map(
                                job ->
                                        job.avoidedWorkers().isEmpty()
                                                        || feasibility.isFeasible(
                                                                job.spec(), job.avoidedWorkers())
                                                ? job
                                                : job.withoutAvoidedWorkers())
                        .toList();
        return new PlanInput(
                original.nowMillis(),
                original.cluster(),
                waiting,
                original.customers(),
                original.runTimes());
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
        Capacity unreserved = unreservedFor(job);
        return claimFreeCapacity(job, unreserved)
                || startAsBorrower(job, unreserved)
                || unreserved != free && claimFreeCapacity(job, free)
                || claimByEviction(job)
                || evictForUrgent(job)
                || evictLongerBorrowers(job);
    }

    private void leaveWaiting(WaitingJob job) {
        boolean strictArrivalOrder =
                policy.has(Feature.RESERVATION) && !policy.has(Feature.SHORTEST_FIRST);
        if (strictArrivalOrder && reservations.size() == 0) {
            reserve(job);
        }
        long expected =
                reservations.find(job.job()).map(Reservation::expectedStartMillis).orElse(0L);
        if (fitsOnAvailableWorkers(job)) {
            planBuilder.setDecision(explainer.explain(job, expected));
        } else {
            recordWait(job, WaitReason.WORKERS_OUT, 0L);
        }
    }

    private boolean fitsOnAvailableWorkers(WaitingJob job) {
        return fitsByShape.computeIfAbsent(
                GangShape.of(job.spec()),
                shape -> fitter.fit(idleCapacity, job.spec(), Set.of()).isPresent());
    }

    private boolean claimFreeCapacity(WaitingJob job, Capacity capacity) {
        if (!mayClaim(job)) {
            return false;
        }
        Optional<List<TaskPlacement>> anywhere =
                fitter.fit(capacity, job.spec(), job.avoidedWorkers());
        if (anywhere.isEmpty()) {
            return false;
        }
        if (startIfClaimable(job, anywhere.get())) {
            return true;
        }
        for (int[] limits : layoutLimits(job)) {
            Optional<List<TaskPlacement>> withinLimits =
                    fitter.fit(
                            new LimitedCapacity(capacity, limits),
                            job.spec(),
                            job.avoidedWorkers());
            if (withinLimits.isPresent() && startIfClaimable(job, withinLimits.get())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns, for each block that the job could claim, the number of accelerators on each worker
     * that the layout assigns to the block. If no single block covers the job, returns the numbers
     * for all blocks of the customer together.
     */
    private List<int[]> layoutLimits(WaitingJob job) {
        List<BlockUsage> coveringBlocks = claimer.findCoveringBlocks(job.spec());
        if (coveringBlocks.isEmpty()) {
            return List.of(
                    guarantees.layoutAccelerators(guarantees.blocksOf(job.spec().customer())));
        }
        return coveringBlocks.stream()
                .map(usage -> guarantees.layoutAccelerators(List.of(usage)))
                .toList();
    }

    private boolean startIfClaimable(WaitingJob job, List<TaskPlacement> members) {
        Optional<List<BlockClaim>> claims = claimer.claim(job.spec(), members);
        claims.ifPresent(c -> start(job, members, c));
        return claims.isPresent();
    }

    private boolean startAsBorrower(WaitingJob job, Capacity capacity) {
        Optional<List<TaskPlacement>> members =
                fitter.fit(capacity, job.spec(), job.avoidedWorkers());
        members.ifPresent(m -> start(job, m, List.of()));
        return members.isPresent();
    }

    /**
     * Returns the free capacity that is not reserved for another job that starts before this job
     * ends.
     */
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
                .anyMatch(limits -> claimByEviction(job, evictions.find(job, limits, borrower)));
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
        Predicate<RunningGang> ownNonUrgent =
                gang ->
                        gang.allocation().spec().customer().equals(customer)
                                && !gang.allocation().spec().urgent();
        List<EvictionPlan> candidates = evictions.find(job, null, ownNonUrgent);
        if (candidates.isEmpty()) {
            return false;
        }
        EvictionPlan eviction = candidates.get(0);
        eviction.victims().forEach(this::releaseClaims);
        List<BlockClaim> claims = claimer.claim(job.spec(), eviction.members()).orElse(List.of());
        evict(job, eviction, claims, PreemptReason.URGENT_WORK);
        return true;
    }

    /**
     * Stops borrowers that would run much longer than the job, with a checkpoint, if that shortens
     * the mean completion time.
     */
    private boolean evictLongerBorrowers(WaitingJob job) {
        if (!policy.has(Feature.COMPACTION) || longerGangSearches >= MAX_LONGER_GANG_SEARCHES) {
            return false;
        }
        longerGangSearches++;
        long expectedRunMillis = queue.expectedRunMillis(job);
        long savedMillis = expectedWaitMillis(job);
        Predicate<RunningGang> longer =
                gang ->
                        gang.canYieldToShorterJob(
                                MIN_LENGTH_RATIO * expectedRunMillis, input.nowMillis());
        for (EvictionPlan eviction : evictions.find(job, null, longer)) {
            long lostMillis =
                    eviction.victims().size()
                            * (expectedRunMillis + RunningGang.RESUME_COST_MILLIS);
            boolean worthwhile =
                    !eviction.victims().isEmpty() && savedMillis >= MIN_GAIN_FACTOR * lostMillis;
            if (worthwhile) {
                evict(job, eviction, List.of(), PreemptReason.SHORTER_WORK);
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the expected waiting time of a job: the time until enough gangs have ended, or 0 if
     * the job would not fit even then.
     */
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
        boolean canStartNow = true;
        for (RunningGang victim : eviction.victims()) {
            remove(victim);
            if (victim.isStartedThisRound()) {
                revertStart(victim);
            } else {
                canStartNow = false;
                if (!victim.isStopping()) {
                    String id = victim.allocation().job();
                    planBuilder.addDecision(new PreemptGang(id, reason, job.job()));
                }
            }
        }
        if (canStartNow) {
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

    /**
     * Reverts a start that was decided in this round. The round decides about the job again at its
     * end.
     */
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
        boolean waitsFragmented = planBuilder.isWaitingFor(job.job(), WaitReason.FRAGMENTED);
        if (reservation.isEmpty() || !waitsFragmented) {
            return;
        }
        long expectedStartMillis = reservation.get().expectedStartMillis();
        compactor
                .findMoves(job, expectedStartMillis)
                .ifPresent(plan -> moveGangs(job, plan, expectedStartMillis));
    }

    private void moveGangs(WaitingJob job, EvictionPlan plan, long expectedStartMillis) {
        long savedAcceleratorMillis = compactor.savedAcceleratorMillis(job, expectedStartMillis);
        for (RunningGang gang : plan.victims()) {
            releaseClaims(gang);
            remove(gang);
            long lostAcceleratorMillis = gang.lostAcceleratorMillis(input.nowMillis());
            planBuilder.addDecision(
                    new MoveGang(
                            gang.allocation().job(),
                            job.job(),
                            lostAcceleratorMillis,
                            savedAcceleratorMillis));
        }
        free.allocate(job.spec(), plan.members());
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
        boolean usesAccelerators = job.spec().acceleratorsPerTask() > 0;
        return usesAccelerators
                && guarantees.unclaimedAccelerators(job.spec().customer())
                        >= job.totalAccelerators();
    }
}
