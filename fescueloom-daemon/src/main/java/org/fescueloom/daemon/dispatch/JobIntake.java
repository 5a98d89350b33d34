package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Stream;
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
 * removed from the intake log. A cancellation that arrives before its submission is kept for the
 * retention time of ended jobs, after which no append of the submission can still be executed. If
 * more than {@link #MAX_EARLY_CANCELLATIONS} such cancellations are kept, the oldest is dropped.
 * Confined to the event loop of the dispatcher.
 */
final class JobIntake {
    /**
     * Minimum time between two removals of processed records from the intake log; one call removes
     * all of them, up to {@link #MAX_REMOVALS_PER_CALL}.
     */
    private static final long REMOVAL_INTERVAL_MILLIS = 5_000;

    /**
     * Keeps a removal below the limit of the log service of 2 MiB per call; a tombstone takes about
     * 24 bytes.
     */
    private static final int MAX_REMOVALS_PER_CALL = 10_000;

    /**
     * Maximum number of cancellations kept for jobs that have not been submitted; limits the memory
     * to about 100 bytes for each.
     */
    private static final int MAX_EARLY_CANCELLATIONS = 50_000;

    /** Time after which a caller may repeat a query that failed because a log could not be read. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Time to wait for the response to a removal. */
    private static final Duration REMOVAL_TIMEOUT = Duration.ofMillis(900);

    private final DispatchState state;
    private final RunTracker runTracker;
    private final KeyedLog log;
    private final ScheduledExecutorService loop;
    private final Runnable onChange;
    private final LatestRecords initialRecords;
    private final IntakeFollower follower;
    private final Set<String> keysToRemove = new LinkedHashSet<>();

    /** The keys of the removal in progress; empty if there is none. */
    private final Set<String> keysBeingRemoved = new HashSet<>();

    /**
     * The IDs of jobs that were cancelled but not submitted yet, oldest first, each with the
     * monotonic time at which its cancellation was processed.
     */
    private final Map<String, Long> earlyCancellations = new LinkedHashMap<>();

    private long lastRemovalMillis;
    private boolean closed;

    /**
     * Creates an intake.
     *
     * @param state the state that the parts of the dispatcher share
     * @param runTracker ends cancelled jobs
     * @param log the log service
     * @param initialRecords the content of the intake log when the dispatcher started
     * @param loop the event loop of the dispatcher
     * @param onChange runs after jobs were admitted or cancelled
     */
    JobIntake(
            DispatchState state,
            RunTracker runTracker,
            KeyedLog log,
            LatestRecords initialRecords,
            ScheduledExecutorService loop,
            Runnable onChange) {
        this.state = state;
        this.runTracker = runTracker;
        this.log = log;
        this.initialRecords = initialRecords;
        this.loop = loop;
        this.onChange = onChange;
        follower =
                new IntakeFollower(
                        log,
                        initialRecords.resumeOffset(),
                        loop,
                        state.metrics(),
                        this::processSnapshot,
                        this::processNewRecords);
    }

    /** Processes the initial records, and starts to follow the intake log. */
    void start() {
        processSnapshot(initialRecords);
        follower.start();
    }

    /** Stops processing. */
    void close() {
        closed = true;
        follower.close();
    }

    /**
     * Returns the stored state of a job.
     *
     * <p>{@link JobStatus#UNKNOWN} is returned only after this dispatcher has read the intake log
     * up to the time of the call, and has then confirmed that no other process has written to the
     * job log. Otherwise another dispatcher could have admitted the job and removed its submission
     * from the intake log.
     *
     * @param jobId the ID of the job
     * @return a future of the state; fails with {@code NOT_DISPATCHER} if this dispatcher has been
     *     replaced or closed, and with {@code LOG_UNAVAILABLE} if a call to the log service fails
     */
    CompletableFuture<JobStatus> status(String jobId) {
        if (state.storedStatuses().containsKey(jobId)) {
            return CompletableFuture.completedFuture(state.storedStatuses().get(jobId));
        }
        return follower.catchUp()
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

    /** Tells whether submissions of a job are still to be removed from the intake log. */
    boolean hasRecordsToRemove(String jobId) {
        String prefix = IntakeKind.SUBMISSION.key(jobId + "/");
        return Stream.concat(keysToRemove.stream(), keysBeingRemoved.stream())
                .anyMatch(key -> key.startsWith(prefix));
    }

    /**
     * Removes the records of processed requests and of expired cancellations from the intake log,
     * unless a removal is in progress or the last one was too recent.
     */
    void removeProcessedIfDue(long nowMillis) {
        if (closed
                || !keysBeingRemoved.isEmpty()
                || nowMillis - lastRemovalMillis < REMOVAL_INTERVAL_MILLIS) {
            return;
        }
        expireEarlyCancellations(nowMillis);
        if (!keysToRemove.isEmpty()) {
            lastRemovalMillis = nowMillis;
            removeRecords(keysToRemove.stream().limit(MAX_REMOVALS_PER_CALL).toList());
        }
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
                                keysToRemove.add(IntakeKind.CANCELLATION.key(entry.getKey()));
                            }
                            return expired;
                        });
    }

    private void removeRecords(List<String> keys) {
        // If a record with one of these keys is stored again during the call, its key is added to
        // keysToRemove again and removed by the next call.
        keys.forEach(keysToRemove::remove);
        keysBeingRemoved.addAll(keys);
        List<KeyedRecord> removals =
                keys.stream().map(key -> new KeyedRecord(key, new byte[0])).toList();
        log.append(IntakeRequest.partition(0), removals, KeyedLog.ANY_END, REMOVAL_TIMEOUT)
                .whenCompleteAsync(
                        (outcome, error) -> {
                            keysBeingRemoved.clear();
                            if (error != null) {
                                keysToRemove.addAll(keys);
                                state.metrics().countRetry(Failures.typeOf(error));
                            }
                        },
                        loop);
    }

    /**
     * Processes the newest record of each key. Submissions with one job ID but different content
     * have different keys; the earliest is admitted. Cancellations have no time of submission and
     * are processed first.
     */
    private void processSnapshot(LatestRecords snapshot) {
        processRequests(
                snapshot.records().stream()
                        .map(IntakeRequest::fromRecord)
                        .flatMap(Optional::stream)
                        .sorted(Comparator.comparingLong(IntakeRequest::submittedAtMillis))
                        .toList());
    }

    private void processNewRecords(List<KeyedRecord> records) {
        processRequests(
                records.stream().map(IntakeRequest::fromRecord).flatMap(Optional::stream).toList());
    }

    private void processRequests(List<IntakeRequest> requests) {
        if (closed) {
            return;
        }
        boolean changed = false;
        for (IntakeRequest request : requests) {
            try {
                changed |= processRequest(request);
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
     * @return whether a job was admitted or cancelled
     */
    private boolean processRequest(IntakeRequest request) {
        return switch (request.kind()) {
            case SUBMISSION -> admit(request);
            case CANCELLATION -> cancel(request);
        };
    }

    private boolean admit(IntakeRequest request) {
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
        removeOnceStored(request.key());
        if (earlyCancellations.remove(id) != null) {
            cancel(IntakeRequest.cancellation(id));
        }
        return newJob;
    }

    private boolean cancel(IntakeRequest request) {
        WorkJob job = state.jobs().get(request.jobId());
        if (job == null) {
            earlyCancellations.putIfAbsent(request.jobId(), state.monotonicMillis());
            if (earlyCancellations.size() > MAX_EARLY_CANCELLATIONS) {
                String oldest = earlyCancellations.keySet().iterator().next();
                earlyCancellations.remove(oldest);
                keysToRemove.add(IntakeKind.CANCELLATION.key(oldest));
            }
            return false;
        }
        boolean active = !job.phase().ended();
        if (active) {
            runTracker.endJob(job, JobPhase.CANCELLED);
            state.saveJob(job);
        }
        removeOnceStored(request.key());
        return active;
    }

    private void removeOnceStored(String key) {
        state.writer().whenStored(() -> keysToRemove.add(key));
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
