package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.JobPhase;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkJob;
import org.fescueloom.work.WorkSpec;

/**
 * Processes the submissions and cancellations in the intake log on behalf of the dispatcher.
 *
 * <p>The first submission with a job ID is admitted: it is copied to the job log no later than the
 * first change of the job. Once the effect of a request is stored in the job log, its record is
 * removed from the intake log. A cancellation that arrives before its submission is kept in the job
 * log for the retention time of ended jobs, after which no append of the submission can still be
 * executed. If more than {@link #MAX_EARLY_CANCELLATIONS} such cancellations are kept, the oldest
 * is dropped. Confined to the event loop of the dispatcher.
 */
final class JobIntake {
    /**
     * Maximum number of cancellations kept for jobs that have not been submitted; limits the memory
     * to about 100 bytes for each.
     */
    private static final int MAX_EARLY_CANCELLATIONS = 50_000;

    /** Time after which a caller may repeat a query that failed because a log could not be read. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final DispatchState state;
    private final RunTracker runTracker;
    private final ScheduledExecutorService loop;
    private final Runnable onChange;
    private final List<IntakeFollower> followers = new ArrayList<>();
    private final List<IntakeRemovals> removals = new ArrayList<>();

    /**
     * The IDs of jobs that were cancelled but not submitted yet, oldest first, each with the
     * monotonic time at which its cancellation was processed.
     */
    private final Map<String, Long> earlyCancellations = new LinkedHashMap<>();

    private boolean closed;

    /**
     * Creates an intake.
     *
     * @param state the state that the parts of the dispatcher share
     * @param runTracker ends cancelled jobs
     * @param log the access to the intake log
     * @param loop the event loop of the dispatcher
     * @param onChange runs after jobs were admitted or cancelled
     */
    JobIntake(
            DispatchState state,
            RunTracker runTracker,
            LogAccess log,
            ScheduledExecutorService loop,
            Runnable onChange) {
        this.state = state;
        this.runTracker = runTracker;
        this.loop = loop;
        this.onChange = onChange;
        for (int i = 0; i < log.intakePartitions(); i++) {
            follow(log.service(), IntakeRequest.partition(i));
        }
    }

    private void follow(KeyedLog log, LogPartition partition) {
        IntakeRemovals ownRemovals = new IntakeRemovals(log, partition, loop, state.metrics());
        removals.add(ownRemovals);
        followers.add(
                new IntakeFollower(
                        log,
                        partition,
                        loop,
                        state.metrics(),
                        snapshot -> processSnapshot(snapshot, ownRemovals),
                        records -> processNewRecords(records, ownRemovals)));
    }

    /**
     * Starts to follow the intake log. A partition that does not respond holds up only its own
     * records.
     *
     * @param storedCancellations the IDs of jobs that were cancelled before they were submitted
     */
    void start(Set<String> storedCancellations) {
        storedCancellations.forEach(this::cancel);
        followers.forEach(IntakeFollower::start);
    }

    /** Stops processing. */
    void close() {
        closed = true;
        followers.forEach(IntakeFollower::close);
    }

    /**
     * Returns the stored state of a job.
     *
     * <p>{@link JobStatus#UNKNOWN} is returned only after this dispatcher has read all partitions
     * of the intake log up to the time of the call, and has then confirmed that no other process
     * has written to the job log. Otherwise another dispatcher could have admitted the job and
     * removed its submission from the intake log.
     *
     * @param jobId the ID of the job
     * @return a future of the state; fails with {@code NOT_DISPATCHER} if this dispatcher has been
     *     replaced or closed, and with {@code LOG_UNAVAILABLE} if a call to the log service fails
     */
    CompletableFuture<JobStatus> status(String jobId) {
        if (state.storedStatuses().containsKey(jobId)) {
            return CompletableFuture.completedFuture(state.storedStatuses().get(jobId));
        }
        return catchUp()
                .thenComposeAsync(
                        v ->
                                state.storedStatuses().containsKey(jobId)
                                        ? CompletableFuture.<Void>completedFuture(null)
                                        : state.writer().confirmNoOtherWriter(),
                        loop)
                .handleAsync(
                        (v, error) -> {
                            if (error != null) {
                                throw readFailure(error);
                            }
                            return state.storedStatuses().getOrDefault(jobId, JobStatus.UNKNOWN);
                        },
                        loop);
    }

    private CompletableFuture<Void> catchUp() {
        return CompletableFuture.allOf(
                followers.stream()
                        .map(IntakeFollower::catchUp)
                        .toArray(CompletableFuture<?>[]::new));
    }

    private static SchedulerException readFailure(Throwable error) {
        SchedulerException failure = Failures.of(error);
        return failure.type() == FailureType.NOT_DISPATCHER
                ? failure
                : new SchedulerException(
                        FailureType.LOG_UNAVAILABLE,
                        "the stored jobs cannot be read",
                        RETRY_AFTER_MILLIS,
                        failure);
    }

    /**
     * Tests whether a job may be forgotten: all partitions of the intake log are read, and hold no
     * submission of the job, which would be admitted again.
     */
    boolean mayForget(String jobId) {
        return caughtUp() && removals.stream().noneMatch(r -> r.containsSubmissionOf(jobId));
    }

    private boolean caughtUp() {
        return followers.stream().allMatch(IntakeFollower::caughtUp);
    }

    /** Removes the records of processed requests and of expired cancellations if that is due. */
    void removeProcessedIfDue(long nowMillis) {
        if (closed) {
            return;
        }
        // The submission of a cancelled job may be in a partition that is not read yet.
        if (caughtUp()) {
            expireEarlyCancellations(nowMillis);
        }
        removals.forEach(r -> r.removeIfDue(nowMillis));
    }

    private void expireEarlyCancellations(long nowMillis) {
        earlyCancellations
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean expired =
                                    nowMillis - entry.getValue()
                                            > state.timings().endedJobRetentionMillis();
                            if (expired) {
                                forgetCancellation(entry.getKey());
                            }
                            return expired;
                        });
    }

    private void forgetCancellation(String jobId) {
        // The empty value is a tombstone, which deletes the key.
        state.writer().put(JobStore.cancellationKey(jobId), () -> new byte[0]);
    }

    /**
     * Processes the newest record of each key. Submissions with one job ID but different content
     * have different keys; the earliest is admitted. Cancellations have no time of submission and
     * are processed first.
     */
    private void processSnapshot(LatestRecords snapshot, IntakeRemovals ownRemovals) {
        processRequests(
                ownRemovals,
                snapshot.records().stream()
                        .map(IntakeRequest::fromRecord)
                        .flatMap(Optional::stream)
                        .sorted(Comparator.comparingLong(IntakeRequest::submittedAtMillis))
                        .toList());
    }

    private void processNewRecords(List<KeyedRecord> records, IntakeRemovals ownRemovals) {
        processRequests(
                ownRemovals,
                records.stream().map(IntakeRequest::fromRecord).flatMap(Optional::stream).toList());
    }

    private void processRequests(IntakeRemovals ownRemovals, List<IntakeRequest> requests) {
        if (closed) {
            return;
        }
        boolean changed = false;
        for (IntakeRequest request : requests) {
            try {
                changed |= processRequest(request, ownRemovals);
            } catch (RuntimeException e) {
                // A request that cannot be processed must not block the requests after it.
                state.metrics().count("intake.failures");
                EventLog.event("intake-failed").field("key", request.key()).error(e).error();
            }
        }
        // If nothing has changed, the removal of the records waits for the next flush.
        if (changed) {
            onChange.run();
            state.writer().flush();
        }
    }

    /**
     * Processes a request.
     *
     * @param ownRemovals removes the record of the request from its partition
     * @return whether a job was admitted or cancelled
     */
    private boolean processRequest(IntakeRequest request, IntakeRemovals ownRemovals) {
        return switch (request.kind()) {
            case SUBMISSION -> admit(request, ownRemovals);
            case CANCELLATION -> cancel(request, ownRemovals);
        };
    }

    private boolean admit(IntakeRequest request, IntakeRemovals ownRemovals) {
        String id = request.jobId();
        boolean newJob = !state.jobs().containsKey(id);
        if (newJob) {
            Submission submission = request.submission();
            state.jobs().put(id, new WorkJob(submission));
            // The submission is in the intake log, so the job counts as stored.
            state.storedStatuses().put(id, JobStatus.QUEUED);
            state.writer().put(JobStore.submissionKey(id), () -> JobStore.encode(submission));
            state.metrics().count("tasks.jobs-taken-up");
            logAdmission(submission);
        }
        removeOnceStored(request.key(), ownRemovals);
        if (earlyCancellations.remove(id) != null) {
            cancel(id);
            state.writer().whenStored(() -> forgetCancellation(id));
        }
        return newJob;
    }

    private boolean cancel(IntakeRequest request, IntakeRemovals ownRemovals) {
        boolean changed = cancel(request.jobId());
        removeOnceStored(request.key(), ownRemovals);
        return changed;
    }

    /**
     * Cancels a job, or keeps the cancellation if the job was not submitted yet.
     *
     * @return whether the job was active
     */
    private boolean cancel(String id) {
        WorkJob job = state.jobs().get(id);
        if (job == null) {
            keepCancellation(id);
            return false;
        }
        boolean active = !job.phase().ended();
        if (active) {
            runTracker.endJob(job, JobPhase.CANCELLED);
            state.saveJob(job);
        }
        return active;
    }

    private void keepCancellation(String id) {
        earlyCancellations.putIfAbsent(id, state.monotonicMillis());
        // Once in the job log, it holds after a takeover even if its partition does not respond.
        state.writer().put(JobStore.cancellationKey(id), JobStore::encodeCancellation);
        if (earlyCancellations.size() > MAX_EARLY_CANCELLATIONS) {
            String oldest = earlyCancellations.keySet().iterator().next();
            earlyCancellations.remove(oldest);
            forgetCancellation(oldest);
        }
    }

    private void removeOnceStored(String key, IntakeRemovals ownRemovals) {
        ownRemovals.hold(key);
        state.writer().whenStored(() -> ownRemovals.release(key));
    }

    private void logAdmission(Submission submission) {
        WorkSpec work = submission.work();
        List<StepSpec> steps = work.steps();
        EventLog.event("job-taken-up")
                .field("job", submission.id())
                .field("queue", submission.queue())
                .field("customer", submission.customer())
                .field("age", state.wallClockMillis() - submission.acceptedAtMillis())
                .field("steps", steps.size())
                .field("tasks", steps.stream().mapToInt(StepSpec::count).sum())
                .field("gang", steps.stream().anyMatch(StepSpec::gang))
                .field("endless", steps.stream().anyMatch(StepSpec::endless))
                .field("filler", steps.stream().anyMatch(StepSpec::filler))
                .field("occurrences", work.occurrences())
                .field("chain", work.criticalPathMillis())
                .field("core-seconds", Math.round(work.coreSeconds()))
                .field("config", state.fleet().version())
                .field("epoch", state.epoch())
                .info();
    }
}
