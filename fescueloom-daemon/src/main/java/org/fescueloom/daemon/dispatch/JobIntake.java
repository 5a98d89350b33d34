package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.JobView;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkJob;
import org.fescueloom.work.WorkSpec;

/** Accepts jobs, and answers their callers once that is stored. */
final class JobIntake {
    /** A log service that has failed for this long is down: new jobs are refused at once. */
    private static final long STORE_DOWN_MILLIS = 700;

    private static final long RETRY_MILLIS = 1_000;

    private final DispatchState state;
    private final ScheduledExecutorService loop;
    private final Runnable onAccepted;
    private final Map<String, List<CompletableFuture<Void>>> waiters = new HashMap<>();

    /**
     * Creates an intake.
     *
     * @param state what the parts of the dispatcher share
     * @param loop the thread of the dispatcher
     * @param onAccepted runs after a job was stored
     */
    JobIntake(DispatchState state, ScheduledExecutorService loop, Runnable onAccepted) {
        this.state = state;
        this.loop = loop;
        this.onAccepted = onAccepted;
    }

    /** Accepts a job; the future completes once it is stored. */
    CompletableFuture<Void> submit(Submission submission, long waitMillis) {
        String id = submission.id();
        if (state.storedViews().containsKey(id)) {
            return CompletableFuture.completedFuture(null);
        }
        if (waiters.containsKey(id)) {
            return await(id, waitMillis);
        }
        if (state.writer().failingMillis() > 0) {
            // This job, or the next try for it, then finds what the log service answers now.
            state.writer().verify();
        }
        if (state.writer().failingMillis() > STORE_DOWN_MILLIS) {
            return CompletableFuture.failedFuture(storeDown());
        }
        state.jobs().put(id, new WorkJob(submission));
        waiters.put(id, new ArrayList<>());
        state.writer().put(JobStore.submissionKey(id), () -> JobStore.write(submission));
        state.writer().whenStored(() -> stored(id));
        CompletableFuture<Void> accepted = await(id, waitMillis);
        state.writer().flush();
        return accepted;
    }

    /** Tells all callers that wait to ask the next dispatcher, or that the outcome is not known. */
    void close() {
        Map<String, List<CompletableFuture<Void>>> all = new HashMap<>(waiters);
        waiters.clear();
        all.forEach(
                (id, list) -> {
                    boolean neverSent = state.writer().withdraw(JobStore.submissionKey(id));
                    SchedulerException failure =
                            neverSent
                                    ? Dispatcher.notDispatcher()
                                    : undecided("the dispatcher was replaced");
                    list.forEach(w -> w.completeExceptionally(failure));
                });
    }

    private CompletableFuture<Void> await(String id, long waitMillis) {
        CompletableFuture<Void> waiter = new CompletableFuture<>();
        waiters.get(id).add(waiter);
        loop.schedule(() -> giveUp(id, waiter), Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
        return waiter;
    }

    /** Answers a caller whose job is still not stored: it never runs if it was not sent yet. */
    private void giveUp(String id, CompletableFuture<Void> waiter) {
        if (waiter.isDone()) {
            return;
        }
        List<CompletableFuture<Void>> waiting = waiters.getOrDefault(id, new ArrayList<>());
        waiting.remove(waiter);
        if (waiting.isEmpty() && state.writer().withdraw(JobStore.submissionKey(id))) {
            state.jobs().remove(id);
            waiters.remove(id);
            waiter.completeExceptionally(storeDown());
        } else {
            waiter.completeExceptionally(undecided("the log has not answered"));
        }
    }

    private void stored(String id) {
        List<CompletableFuture<Void>> stored = waiters.remove(id);
        WorkJob job = state.jobs().get(id);
        if (stored == null || job == null) {
            return;
        }
        state.storedViews().put(id, JobView.QUEUED);
        state.metrics().count("tasks.jobs-accepted");
        noteAccepted(job.submission());
        stored.forEach(w -> w.complete(null));
        onAccepted.run();
    }

    private void noteAccepted(Submission submission) {
        WorkSpec work = submission.work();
        List<StepSpec> steps = work.steps();
        EventLog.event("job-accepted")
                .field("job", submission.id())
                .field("queue", submission.queue())
                .field("customer", submission.customer())
                .field("steps", steps.size())
                .field("tasks", steps.stream().mapToInt(StepSpec::count).sum())
                .field("gang", steps.stream().anyMatch(StepSpec::gang))
                .field("endless", steps.stream().anyMatch(StepSpec::endless))
                .field("filler", steps.stream().anyMatch(StepSpec::filler))
                .field("occurrences", work.occurrences())
                .field("chain", work.longestChainMillis())
                .field("core-seconds", Math.round(work.coreSeconds()))
                .field("config", state.fleet().version())
                .field("epoch", state.epoch())
                .info();
    }

    private static SchedulerException storeDown() {
        return new SchedulerException(FailureType.LOG_UNAVAILABLE, "the log is down", RETRY_MILLIS);
    }

    private static SchedulerException undecided(String detail) {
        return new SchedulerException(FailureType.LOG_UNDECIDED, detail, RETRY_MILLIS);
    }
}
