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
 * Takes up what the entries have stored for callers.
 *
 * <p>The first submission of an identifier holds: it is copied to the log of jobs, which only the
 * dispatcher writes, together with the first change of the job or before. What was taken up is then
 * removed from the log of the entries. A cancellation that comes before its job is kept until no
 * append of that job can still be executed. Confined to the thread of the dispatcher.
 */
final class JobIntake {
    /** How often what was taken up is removed; one call removes all of it. */
    private static final long TRIM_MILLIS = 5_000;

    /** One call stays below the 2 MiB that the log service takes; a removal has some 24 bytes. */
    private static final int MAX_TRIMMED = 10_000;

    /** Bounds the memory for cancellations whose job never comes, at some 100 bytes each. */
    private static final int MAX_CANCELLED_EARLY = 50_000;

    private static final long RETRY_MILLIS = 1_000;

    private static final Duration TRIM_TIMEOUT = Duration.ofMillis(900);

    private final DispatchState state;
    private final RunTracker runs;
    private final KeyedLog log;
    private final ScheduledExecutorService loop;
    private final Runnable onChange;
    private final LatestRecords start;
    private final IntakeFollower follower;
    private final Set<String> toRemove = new LinkedHashSet<>();
    private final Set<String> removing = new HashSet<>();
    private final Map<String, Long> cancelledEarly = new LinkedHashMap<>();
    private long trimmedMillis;
    private boolean closed;

    /**
     * Creates an intake.
     *
     * @param state what the parts of the dispatcher share
     * @param runs ends the jobs that are cancelled
     * @param log the log service
     * @param start what the entries had stored when the dispatcher began
     * @param loop the thread of the dispatcher
     * @param onChange runs after jobs were taken up or cancelled
     */
    JobIntake(
            DispatchState state,
            RunTracker runs,
            KeyedLog log,
            LatestRecords start,
            ScheduledExecutorService loop,
            Runnable onChange) {
        this.state = state;
        this.runs = runs;
        this.log = log;
        this.start = start;
        this.loop = loop;
        this.onChange = onChange;
        follower =
                new IntakeFollower(
                        log,
                        start.resumeOffset(),
                        loop,
                        state.metrics(),
                        this::takeAll,
                        this::take);
    }

    /** Takes up what was stored before, and begins to follow. */
    void start() {
        takeAll(start);
        follower.start();
    }

    /** Takes up nothing any more. */
    void close() {
        closed = true;
        follower.close();
    }

    /**
     * Returns the state of a job.
     *
     * <p>That there is no such job is told only after everything that was stored before this call
     * has been read, and after the claim of this dispatcher has been proved since: another
     * dispatcher may have taken up the job, and have removed it from the log of the entries.
     */
    CompletableFuture<JobStatus> view(String id) {
        if (state.storedViews().containsKey(id)) {
            return CompletableFuture.completedFuture(state.storedViews().get(id));
        }
        return follower.catchUp()
                .thenComposeAsync(
                        v ->
                                state.storedViews().containsKey(id)
                                        ? CompletableFuture.<Void>completedFuture(null)
                                        : state.writer().confirmNoOtherWriter(),
                        loop)
                .handleAsync(
                        (v, error) -> {
                            if (error != null) {
                                throw notReadable(error);
                            }
                            return state.storedViews().getOrDefault(id, JobStatus.UNKNOWN);
                        },
                        loop);
    }

    private static SchedulerException notReadable(Throwable error) {
        SchedulerException failure = Failures.of(error);
        return failure.type() == FailureType.NOT_DISPATCHER
                ? failure
                : new SchedulerException(
                        FailureType.LOG_UNAVAILABLE,
                        "the jobs that are stored cannot be read",
                        RETRY_MILLIS,
                        failure);
    }

    /** Tells whether what a caller has stored of a job is still to be removed. */
    boolean hasRecordsToRemove(String id) {
        String prefix = IntakeKind.SUBMISSION.key(id + "/");
        return Stream.concat(toRemove.stream(), removing.stream())
                .anyMatch(key -> key.startsWith(prefix));
    }

    /** Removes from time to time what was taken up. */
    void removeProcessedIfDue(long now) {
        if (closed || !removing.isEmpty() || now - trimmedMillis < TRIM_MILLIS) {
            return;
        }
        forgetEarlyCancellations(now);
        if (!toRemove.isEmpty()) {
            trimmedMillis = now;
            trim(toRemove.stream().limit(MAX_TRIMMED).toList());
        }
    }

    private void forgetEarlyCancellations(long now) {
        cancelledEarly
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean old =
                                    now - entry.getValue()
                                            > state.timings().endedJobRetentionMillis();
                            if (old) {
                                toRemove.add(IntakeKind.CANCELLATION.key(entry.getKey()));
                            }
                            return old;
                        });
    }

    private void trim(List<String> keys) {
        // A record that is stored again meanwhile is marked again, and removed the next time.
        keys.forEach(toRemove::remove);
        removing.addAll(keys);
        List<KeyedRecord> removals =
                keys.stream().map(key -> new KeyedRecord(key, new byte[0])).toList();
        log.append(IntakeRequest.TOPIC, removals, KeyedLog.ANY_END, TRIM_TIMEOUT)
                .whenCompleteAsync(
                        (outcome, error) -> {
                            removing.clear();
                            if (error != null) {
                                toRemove.addAll(keys);
                                state.metrics().countRetry(Failures.typeOf(error));
                            }
                        },
                        loop);
    }

    /** Takes up all that is kept; of submissions with one identifier, the earliest one. */
    private void takeAll(LatestRecords content) {
        takeItems(
                content.records().stream()
                        .map(IntakeRequest::fromRecord)
                        .flatMap(Optional::stream)
                        .sorted(Comparator.comparingLong(IntakeRequest::submittedAtMillis))
                        .toList());
    }

    private void take(List<KeyedRecord> records) {
        takeItems(
                records.stream().map(IntakeRequest::fromRecord).flatMap(Optional::stream).toList());
    }

    private void takeItems(List<IntakeRequest> items) {
        if (closed) {
            return;
        }
        boolean changed = false;
        for (IntakeRequest item : items) {
            try {
                changed |= take(item);
            } catch (RuntimeException e) {
                // The items behind it are taken up whatever is wrong with this one.
                state.metrics().count("intake.failures");
                EventLog.event("intake-failed").field("key", item.key()).error(e).error();
            }
        }
        if (changed) {
            onChange.run();
            state.writer().flush();
        }
    }

    private boolean take(IntakeRequest item) {
        return switch (item.kind()) {
            case SUBMISSION -> takeUp(item);
            case CANCELLATION -> cancel(item);
        };
    }

    private boolean takeUp(IntakeRequest item) {
        String id = item.jobId();
        boolean first = !state.jobs().containsKey(id);
        if (first) {
            Submission submission = item.submission();
            state.jobs().put(id, new WorkJob(submission));
            state.storedViews().put(id, JobStatus.QUEUED);
            state.writer().put(JobStore.submissionKey(id), () -> JobStore.encode(submission));
            state.metrics().count("tasks.jobs-taken-up");
            noteTakenUp(submission);
        }
        removeOnceStored(item.key());
        if (cancelledEarly.remove(id) != null) {
            cancel(IntakeRequest.cancellation(id));
        }
        return first;
    }

    private boolean cancel(IntakeRequest item) {
        WorkJob job = state.jobs().get(item.jobId());
        if (job == null) {
            cancelledEarly.putIfAbsent(item.jobId(), state.monotonicMillis());
            if (cancelledEarly.size() > MAX_CANCELLED_EARLY) {
                String oldest = cancelledEarly.keySet().iterator().next();
                cancelledEarly.remove(oldest);
                toRemove.add(IntakeKind.CANCELLATION.key(oldest));
            }
            return false;
        }
        boolean ends = !job.phase().ended();
        if (ends) {
            runs.endJob(job, JobPhase.CANCELLED);
            state.saveJob(job);
        }
        removeOnceStored(item.key());
        return ends;
    }

    private void removeOnceStored(String key) {
        state.writer().whenStored(() -> toRemove.add(key));
    }

    private void noteTakenUp(Submission submission) {
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
