package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.loss.LossCause;
import org.fescueloom.loss.LostWorkAccount;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkJob;

/**
 * Records the ends of runs in the log, the metrics and the account of lost work. Decides nothing.
 */
final class RunEndRecorder {
    /** The minimum time between two events {@code lost-work}. */
    static final long REPORT_INTERVAL_MILLIS = 60_000;

    /** The number of causes that the event {@code lost-work} names. */
    private static final int REPORTED_CAUSES = 3;

    private final DispatchState state;
    private final LostWorkAccount account = new LostWorkAccount();
    private long reportedMillis;
    private double reportedCoreSeconds;

    /** Holds why a run ended without a result, and the work that this lost, in core-seconds. */
    record Loss(LossCause cause, double coreSeconds) {
        /** Checks the cause. */
        Loss {
            Objects.requireNonNull(cause, "cause");
        }
    }

    /** Creates a recorder with an empty account, which the gauges show from now on. */
    RunEndRecorder(DispatchState state) {
        this.state = state;
        this.reportedMillis = state.startedMillis();
        showIn(state.metrics());
    }

    /** Replaces the gauges of the earlier dispatchers of this process. */
    private void showIn(Metrics metrics) {
        for (LossCause cause : LossCause.values()) {
            String name = "lost-work." + cause.text();
            metrics.registry().remove(name);
            metrics.registry().gauge(name, () -> () -> account.total(cause));
        }
    }

    /**
     * Records the end of a run.
     *
     * @param checkpoint the last checkpoint that the upstream named with the end; empty if there is
     *     none
     */
    void recordEnd(
            AgentView agent, AssignedRun run, RunEnd end, String checkpoint, EndEvidence evidence) {
        Optional<Loss> loss = lossOf(run, end, checkpoint);
        loss.ifPresent(lost -> addToAccount(run, lost));
        endEvent(agent, run, end, evidence, loss).info();
        state.metrics().count("tasks.ends." + end.text());
        state.metrics().count("tasks.ends-by." + evidence.text());
    }

    /** Returns what is lost by the end of a run; empty if the run is done. */
    Optional<Loss> lossOf(AssignedRun run, RunEnd end, String checkpoint) {
        if (end == RunEnd.DONE) {
            return Optional.empty();
        }
        LossCause cause = run.stopCause().orElseGet(() -> LossCause.ofEnd(end));
        double coreSeconds =
                cause.losesWork() ? run.lossCoreSeconds(checkpoint, state.monotonicMillis()) : 0;
        return Optional.of(new Loss(cause, coreSeconds));
    }

    private void addToAccount(AssignedRun run, Loss loss) {
        WorkJob job = state.jobs().get(run.task().job());
        if (job != null) {
            Submission submission = job.submission();
            account.record(
                    loss.cause(), submission.customer(), submission.queue(), loss.coreSeconds());
        }
    }

    /** Returns the event {@code run-ended}. */
    EventLog endEvent(
            AgentView agent,
            AssignedRun run,
            RunEnd end,
            EndEvidence evidence,
            Optional<Loss> loss) {
        EventLog event =
                EventLog.event("run-ended")
                        .field("task", run.task())
                        .field("run", run.number())
                        .field("agent", agent.name())
                        .field("boot", run.boot())
                        .field("end", end.text())
                        .field("seen", run.listed())
                        .field("evidence", evidence.text())
                        .field("report-age", state.monotonicMillis() - agent.lastReportMillis())
                        .field("reported", agent.boot())
                        .field("epoch", state.epoch());
        loss.ifPresent(
                lost ->
                        event.field("cause", lost.cause().text())
                                .field("lost", Math.round(lost.coreSeconds())));
        return event;
    }

    /**
     * Returns the event {@code lost-work} if it is due: work was lost since the last one, or since
     * the start of the dispatcher, and the interval has passed.
     */
    Optional<EventLog> takeLossEvent(long now) {
        if (now - reportedMillis < REPORT_INTERVAL_MILLIS) {
            return Optional.empty();
        }
        reportedMillis = now;
        double total = account.total();
        double added = total - reportedCoreSeconds;
        reportedCoreSeconds = total;
        return added > 0 ? Optional.of(lossEvent(total, added)) : Optional.empty();
    }

    private EventLog lossEvent(double total, double added) {
        List<LossCause> causes = account.largestCauses(REPORTED_CAUSES);
        EventLog event =
                EventLog.event("lost-work")
                        .field("total", Math.round(total))
                        .field("added", Math.round(added))
                        .field("causes", text(causes));
        account.largestOwner()
                .ifPresent(
                        loss ->
                                event.field("customer", loss.owner().customer())
                                        .field("queue", loss.owner().queue())
                                        .field("largest", Math.round(loss.coreSeconds())));
        return event.field("epoch", state.epoch());
    }

    private String text(List<LossCause> causes) {
        return causes.stream()
                .map(cause -> cause.text() + ':' + Math.round(account.total(cause)))
                .collect(Collectors.joining(","));
    }
}
