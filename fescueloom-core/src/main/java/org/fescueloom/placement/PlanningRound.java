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
 * <p>The round allocates capacity to each waiting job in the first of these ways that is possible:
 *
 * <ol>
 *   <li>free capacity that is not reserved for other jobs, with claims on guaranteed blocks;
 *   <li>free capacity that is not reserved for other jobs, as a borrower;
 *   <li>free capacity that is reserved for other jobs, with claims on guaranteed blocks;
 *   <li>capacity of borrowers, which are preempted, with claims on guaranteed blocks;
 *   <li>if the job is urgent, capacity of non-urgent gangs of its customer, which are preempted;
 *   <li>capacity of borrowers with a much longer remaining run time, which are preempted.
 * </ol>
 *
 * <p>In the last three ways, the job starts in a later round, after the preempted gangs have
 * stopped, unless this round had decided to start all of these gangs. Depending on the features of
 * the policy, the round also reserves workers for jobs that must wait and moves gangs to free
 * adjacent accelerators.
 */
final class PlanningRound {
    /** The maximum number of reservations in one round. */
    private static final int MAX_RESERVATIONS = 1;

    /**
     * The maximum number of preemption plans for which one search for borrowers tries to claim
     * blocks.
     */
    private static final int MAX_PREEMPTION_PLANS_TRIED = 16;

    /** The maximum number of searches in one round for longer borrowers to preempt. */
    private static final int MAX_LONGER_BORROWER_SEARCHES = 16;

    /**
     * A borrower is preempted for a shorter job only if its remaining run time is more than this
     * multiple of the job's expected run time.
     */
    private static final int MIN_RUN_TIME_RATIO = 3;

    /**
     * Borrowers are preempted for a shorter job only if the waiting time that the job saves is at
     * least this multiple of the sum of the borrowers' delays.
     */
    private static final int MIN_GAIN_FACTOR = 2;

    /**
     * The maximum number of retry passes, which decide again about jobs whose start was reverted.
     */
    private static final int MAX_RETRY_PASSES = 3;

    /** The time after which preempted gangs are expected to have stopped, in milliseconds. */
    private static final long EXPECTED_STOP_MILLIS = 2_000L;

    private final PlacementPolicy policy;
    private final PlanInput input;
    private final JobFeasibility feasibility;
    private final JobQueue queue;
    private final GangFitter fitter;
    private final FreeCapacity totalCapacity;
    private final FreeCapacity freeCapacity;
    private final GuaranteeState guarantees;
    private final BlockClaimer claimer;
    private final RunningGangs gangs;
    private final ReservationTable reservations;
    private final PreemptionSearch preemptionSearch;
    private final Compactor compactor;
    private final WaitExplainer explainer;
    private final PlanBuilder planBuilder = new PlanBuilder();

    /** Whether a gang of a shape fits on the workers that accept tasks if nothing else runs. */
    private final Map<GangShape, Boolean> fitsOnAcceptingWorkersByShape = new HashMap<>();

    /** Jobs whose start in this round was reverted, to be decided about in the next retry pass. */
    private final List<WaitingJob> jobsToRetry = new ArrayList<>();

    private int longerBorrowerSearches;

    /**
     * Creates a planning round.
     *
     * @param policy the policy, not null
     * @param original the input of the round, in which jobs may avoid workers that they need, not
     *     null
     */
    PlanningRound(PlacementPolicy policy, PlanInput original) {
        this.policy = policy;
        feasibility = new JobFeasibility(original.cluster().workers());
        input = dropInfeasibleAvoidedWorkers(original);
        Topology topology = new Topology(input.cluster().workers());
        boolean preservesGuarantees = policy.has(Feature.GUARANTEES);
        queue = new JobQueue(input, policy.has(Feature.SHORTEST_FIRST));
        fitter = new GangFitter(topology, policy.order());
        totalCapacity = FreeCapacity.allFree(topology);
        freeCapacity = totalCapacity.copy();
        guarantees =
                new GuaranteeState(topology, preservesGuarantees ? input.customers() : List.of());
        claimer = new BlockClaimer(topology, guarantees);
        gangs = new RunningGangs(topology);
        for (Allocation allocation : input.cluster().allocations()) {
            // The claims of a stopping gang are not added, so that other gangs can claim its
            // blocks.
            boolean claimsValid = !allocation.stopping() && guarantees.addClaimsOf(allocation);
            freeCapacity.allocate(allocation.spec(), allocation.members());
            gangs.add(new RunningGang(allocation, claimsValid, false));
        }
        reservations = new ReservationTable(topology, fitter, freeCapacity);
        preemptionSearch =
                new PreemptionSearch(topology, fitter, freeCapacity, gangs, input.nowMillis());
        compactor = new Compactor(fitter, freeCapacity, preemptionSearch, input.nowMillis());
        explainer = new WaitExplainer(topology, fitter, freeCapacity, gangs);
    }

    /**
     * Plans the round.
     *
     * @return the plan, never null
     */
    Plan run() {
        List<BrokenGuarantee> brokenGuarantees = guarantees.brokenGuarantees();
        // Placement takes shorter jobs first. The earliest job that does not fit therefore gets its
        // reservation before placement begins.
        if (policy.has(Feature.RESERVATION) && policy.has(Feature.SHORTEST_FIRST)) {
            queue.byArrival().stream().filter(this::getsReservation).forEach(this::reserve);
        }
        queue.byPriority().forEach(this::decide);
        for (int i = 0; i < MAX_RETRY_PASSES && !jobsToRetry.isEmpty(); i++) {
            List<WaitingJob> retried = List.copyOf(jobsToRetry);
            jobsToRetry.clear();
            retried.forEach(this::decide);
        }
        if (policy.has(Feature.COMPACTION)) {
            queue.byArrival().forEach(this::moveGangsFor);
        }
        return new Plan(planBuilder.decisions(), brokenGuarantees);
    }

    /**
     * Returns a copy of the input in which a job avoids no workers if the workers that the job does
     * not avoid could not hold it.
     */
    private PlanInput dropInfeasibleAvoidedWorkers(PlanInput original) {
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

    /**
     * Returns whether a job that uses accelerators is due and does not fit into the free capacity,
     * and the round may make another reservation.
     */
    private boolean getsReservation(WaitingJob job) {
        return reservations.size() < MAX_RESERVATIONS
                && job.totalAccelerators() > 0
                && isDue(job)
                && feasibility.isFeasible(job.spec())
                && fitter.fit(freeCapacity, job.spec(), job.avoidedWorkers()).isEmpty();
    }

    private void reserve(WaitingJob job) {
        if (reservations.size() < MAX_RESERVATIONS) {
            reservations
                    .reserve(job, gangs.remaining(), input.nowMillis())
                    .ifPresent(
                            r ->
                                    planBuilder.addOtherDecision(
                                            new ReserveGang(
                                                    r.job(),
                                                    r.expectedStartMillis(),
                                                    r.workers())));
        }
    }

    private void decide(WaitingJob job) {
        if (!feasibility.isFeasible(job.spec())) {
            String largestShapeDescription = feasibility.largestShape(job.spec()).orElse("none");
            planBuilder.setWaitingJobDecision(new RejectJob(job.job(), largestShapeDescription));
        } else if (!isDue(job)) {
            recordWait(job, WaitReason.BACKOFF, job.notBeforeMillis());
        } else if (!tryAllocate(job)) {
            leaveWaiting(job);
        }
    }

    /**
     * Returns whether capacity was allocated to a job, either free capacity or capacity of gangs
     * that this round preempts.
     */
    private boolean tryAllocate(WaitingJob job) {
        Capacity unreserved = capacityNotReservedForOthers(job);
        // A job with claims may use capacity that is reserved for another job; a borrower may not.
        // If no reservation conflicts, the unreserved capacity is freeCapacity itself, which the
        // first call has tried.
        return startWithClaims(job, unreserved)
                || startAsBorrower(job, unreserved)
                || unreserved != freeCapacity && startWithClaims(job, freeCapacity)
                || preemptBorrowers(job)
                || preemptForUrgentJob(job)
                || preemptLongerBorrowers(job);
    }

    private void leaveWaiting(WaitingJob job) {
        // Placement follows the order of arrival, so the first job that must wait gets the
        // reservation.
        boolean reservesForFirstWaitingJob =
                policy.has(Feature.RESERVATION) && !policy.has(Feature.SHORTEST_FIRST);
        if (reservesForFirstWaitingJob && reservations.size() == 0) {
            reserve(job);
        }
        long expectedStartMillis =
                reservations.find(job.job()).map(Reservation::expectedStartMillis).orElse(0L);
        if (fitsOnAcceptingWorkers(job)) {
            planBuilder.setWaitingJobDecision(explainer.explain(job, expectedStartMillis));
        } else {
            recordWait(job, WaitReason.WORKERS_OUT, 0L);
        }
    }

    private boolean fitsOnAcceptingWorkers(WaitingJob job) {
        return fitsOnAcceptingWorkersByShape.computeIfAbsent(
                GangShape.of(job.spec()),
                shape -> fitter.fit(totalCapacity, job.spec(), Set.of()).isPresent());
    }

    /**
     * Starts a job with claims on guaranteed blocks. The first attempt places the job anywhere; the
     * following attempts use only accelerators that the layout assigns to blocks of the customer.
     */
    private boolean startWithClaims(WaitingJob job, Capacity capacity) {
        if (!mayClaim(job)) {
            return false;
        }
        Optional<List<TaskPlacement>> unlimitedMembers =
                fitter.fit(capacity, job.spec(), job.avoidedWorkers());
        if (unlimitedMembers.isEmpty()) {
            return false;
        }
        if (startIfClaimable(job, unlimitedMembers.get())) {
            return true;
        }
        for (int[] limits : layoutLimits(job)) {
            Optional<List<TaskPlacement>> limitedMembers =
                    fitter.fit(
                            new LimitedCapacity(capacity, limits),
                            job.spec(),
                            job.avoidedWorkers());
            if (limitedMembers.isPresent() && startIfClaimable(job, limitedMembers.get())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns limits for the placement of a job, one array for each block that {@link
     * BlockClaimer#findCoveringBlocks} returns. Element i of an array is the number of accelerators
     * of the worker with index i that the layout assigns to the block. If no single block covers
     * the job, the only array counts the accelerators of all blocks of the customer.
     */
    private List<int[]> layoutLimits(WaitingJob job) {
        List<BlockUsage> coveringBlocks = claimer.findCoveringBlocks(job.spec());
        if (coveringBlocks.isEmpty()) {
            return List.of(
                    guarantees.layoutAccelerators(guarantees.usagesOf(job.spec().customer())));
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
     * Returns the free capacity without the reservations of other jobs that are expected to start
     * before the given job ends.
     */
    private Capacity capacityNotReservedForOthers(WaitingJob job) {
        return reservations.capacityNotReservedForOthers(
                job.job(), input.nowMillis() + queue.expectedRunMillis(job));
    }

    private boolean preemptBorrowers(WaitingJob job) {
        if (!mayClaim(job)) {
            return false;
        }
        Predicate<RunningGang> withoutValidClaims = gang -> !gang.hasValidClaims();
        if (preemptBorrowers(job, preemptionSearch.find(job, null, withoutValidClaims))) {
            return true;
        }
        return layoutLimits(job).stream()
                .anyMatch(
                        limits ->
                                preemptBorrowers(
                                        job,
                                        preemptionSearch.find(job, limits, withoutValidClaims)));
    }

    private boolean preemptBorrowers(WaitingJob job, List<PreemptionPlan> candidates) {
        for (PreemptionPlan preemptionPlan :
                candidates.subList(0, Math.min(MAX_PREEMPTION_PLANS_TRIED, candidates.size()))) {
            Optional<List<BlockClaim>> claims = claimer.claim(job.spec(), preemptionPlan.members());
            if (claims.isPresent()) {
                preempt(job, preemptionPlan, claims.get(), PreemptReason.GUARANTEE_CLAIMED);
                return true;
            }
        }
        return false;
    }

    private boolean preemptForUrgentJob(WaitingJob job) {
        if (!job.spec().urgent() || !policy.has(Feature.GUARANTEES)) {
            return false;
        }
        String customer = job.spec().customer();
        Predicate<RunningGang> ownNonUrgent =
                gang ->
                        gang.allocation().spec().customer().equals(customer)
                                && !gang.allocation().spec().urgent();
        List<PreemptionPlan> candidates = preemptionSearch.find(job, null, ownNonUrgent);
        if (candidates.isEmpty()) {
            return false;
        }
        PreemptionPlan preemptionPlan = candidates.get(0);
        preemptionPlan.victims().forEach(this::releaseClaims);
        // Without claims, the urgent job becomes a borrower.
        List<BlockClaim> claims =
                claimer.claim(job.spec(), preemptionPlan.members()).orElse(List.of());
        preempt(job, preemptionPlan, claims, PreemptReason.URGENT_WORK);
        return true;
    }

    /**
     * Preempts borrowers that can resume from a checkpoint and have a much longer remaining run
     * time than the job, if the preemption shortens the mean completion time: the waiting time that
     * the job saves must be at least {@link #MIN_GAIN_FACTOR} times the delay of the borrowers.
     * Each borrower is delayed by the expected run time of the job and by the time that it loses
     * when it resumes.
     */
    private boolean preemptLongerBorrowers(WaitingJob job) {
        if (!policy.has(Feature.COMPACTION)
                || longerBorrowerSearches >= MAX_LONGER_BORROWER_SEARCHES) {
            return false;
        }
        longerBorrowerSearches++;
        long expectedRunMillis = queue.expectedRunMillis(job);
        long savedMillis = expectedWaitMillis(job);
        Predicate<RunningGang> longerBorrowers =
                gang ->
                        gang.canYieldToShorterJob(
                                MIN_RUN_TIME_RATIO * expectedRunMillis, input.nowMillis());
        for (PreemptionPlan preemptionPlan : preemptionSearch.find(job, null, longerBorrowers)) {
            long lostMillis =
                    preemptionPlan.victims().size()
                            * (expectedRunMillis + RunningGang.RESUME_COST_MILLIS);
            boolean worthwhile =
                    !preemptionPlan.victims().isEmpty()
                            && savedMillis >= MIN_GAIN_FACTOR * lostMillis;
            if (worthwhile) {
                preempt(job, preemptionPlan, List.of(), PreemptReason.SHORTER_WORK);
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the expected waiting time of a job: the time until enough gangs have ended, or 0 if
     * the job would not fit even after all gangs have ended.
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

    /**
     * Preempts the victims of a plan and allocates their capacity to a job. The job starts at once
     * if this round had decided to start all victims; otherwise it waits, and its claims keep the
     * blocks from other jobs until the round ends.
     */
    private void preempt(
            WaitingJob job,
            PreemptionPlan preemptionPlan,
            List<BlockClaim> claims,
            PreemptReason reason) {
        boolean canStartNow = true;
        for (RunningGang victim : preemptionPlan.victims()) {
            releaseCapacity(victim);
            if (victim.isStartedThisRound()) {
                queueForRetry(victim);
            } else {
                canStartNow = false;
                if (!victim.isStopping()) {
                    String jobId = victim.allocation().job();
                    planBuilder.addOtherDecision(new PreemptGang(jobId, reason, job.job()));
                }
            }
        }
        if (canStartNow) {
            start(job, preemptionPlan.members(), claims);
        } else {
            freeCapacity.allocate(job.spec(), preemptionPlan.members());
            recordWait(job, WaitReason.PREEMPTING, input.nowMillis() + EXPECTED_STOP_MILLIS);
        }
    }

    /** Makes the capacity of a gang free for the rest of the round. */
    private void releaseCapacity(RunningGang gang) {
        freeCapacity.release(gang.allocation().spec(), gang.allocation().members());
        gang.markCapacityReleased();
    }

    /**
     * Queues the job of a gang, whose start in this round is reverted, for a retry pass, and
     * records that the job waits until then.
     */
    private void queueForRetry(RunningGang gang) {
        String jobId = gang.allocation().job();
        for (WaitingJob waitingJob : input.waiting()) {
            if (waitingJob.job().equals(jobId)) {
                jobsToRetry.add(waitingJob);
                recordWait(waitingJob, WaitReason.RESERVED_FOR_OTHER, 0L);
            }
        }
    }

    /**
     * Moves gangs so that a job with a reservation can start, if the job waits only because the
     * free accelerators are not adjacent.
     */
    private void moveGangsFor(WaitingJob job) {
        Optional<Reservation> reservation = reservations.find(job.job());
        boolean waitsBecauseFragmented = planBuilder.isWaitingFor(job.job(), WaitReason.FRAGMENTED);
        if (reservation.isEmpty() || !waitsBecauseFragmented) {
            return;
        }
        long expectedStartMillis = reservation.get().expectedStartMillis();
        compactor
                .findMoves(job, expectedStartMillis)
                .ifPresent(movePlan -> moveGangs(job, movePlan, expectedStartMillis));
    }

    private void moveGangs(WaitingJob job, PreemptionPlan movePlan, long expectedStartMillis) {
        long savedAcceleratorMillis = compactor.savedAcceleratorMillis(job, expectedStartMillis);
        for (RunningGang gang : movePlan.victims()) {
            releaseClaims(gang);
            releaseCapacity(gang);
            long lostAcceleratorMillis = gang.lostAcceleratorMillis(input.nowMillis());
            planBuilder.addOtherDecision(
                    new MoveGang(
                            gang.allocation().job(),
                            job.job(),
                            lostAcceleratorMillis,
                            savedAcceleratorMillis));
        }
        freeCapacity.allocate(job.spec(), movePlan.members());
        recordWait(job, WaitReason.PREEMPTING, input.nowMillis() + EXPECTED_STOP_MILLIS);
    }

    private void start(WaitingJob job, List<TaskPlacement> members, List<BlockClaim> claims) {
        JobSpec spec = job.spec();
        long nowMillis = input.nowMillis();
        long expectedEndMillis = nowMillis + queue.expectedRunMillis(job);
        freeCapacity.allocate(spec, members);
        planBuilder.setWaitingJobDecision(
                new StartGang(job.job(), members, claims, expectedEndMillis));
        Allocation allocation =
                new Allocation(
                        job.job(),
                        spec,
                        members,
                        claims,
                        nowMillis,
                        nowMillis,
                        expectedEndMillis,
                        false);
        gangs.add(new RunningGang(allocation, !claims.isEmpty(), true));
    }

    /**
     * Records the decision that a job waits. The start time is in milliseconds since the epoch; 0
     * if unknown.
     */
    private void recordWait(WaitingJob job, WaitReason reason, long expectedStartMillis) {
        String shapeDescription = JobFeasibility.describe(job.spec());
        planBuilder.setWaitingJobDecision(
                new WaitForCapacity(
                        job.job(), reason, shapeDescription, List.of(), expectedStartMillis));
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
