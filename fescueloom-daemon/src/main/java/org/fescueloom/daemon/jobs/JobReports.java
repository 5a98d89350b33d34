package org.fescueloom.daemon.jobs;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.job.GangAttempt;
import org.fescueloom.job.GangEnded;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.Job;
import org.fescueloom.job.JobState;
import org.fescueloom.report.ExplanationReport;
import org.fescueloom.report.ExplanationStep;
import org.fescueloom.report.JobReport;
import org.fescueloom.report.PlacementReport;

/** Creates the reports on gang jobs that callers and operators receive. */
public final class JobReports {
    private static final String JOB_KIND = "job";

    /** The reason of a waiting job that the last plan of this process does not mention. */
    private static final String NOT_PLANNED = "not-planned-yet";

    private final PlanBoard board;

    /**
     * Creates the reports.
     *
     * @param board explains why jobs wait, as of the last plan, not null
     */
    public JobReports(PlanBoard board) {
        this.board = Objects.requireNonNull(board, "board");
    }

    /**
     * Creates the report on a job.
     *
     * @param job the job, not null
     * @return the report, never null
     */
    public JobReport report(Job job) {
        Optional<WaitExplanation> explanation = waitExplanation(job);
        List<PlacementReport> placement =
                job.currentAttempt()
                        .map(attempt -> placementReports(attempt.placed()))
                        .orElse(List.of());
        return new JobReport(
                job.id(),
                job.state().text(),
                explanation.map(WaitExplanation::reason).orElse(null),
                explanation
                        .map(WaitExplanation::detail)
                        .orElse(job.reason().isEmpty() ? null : job.reason()),
                job.attempts().size(),
                placement,
                job.spec());
    }

    /**
     * Explains the course of a job: its acceptance, and the placement and end of each gang attempt.
     *
     * @param job the job, not null
     * @return the explanation, never null
     */
    public ExplanationReport explain(Job job) {
        List<ExplanationStep> steps = new ArrayList<>();
        steps.add(
                new ExplanationStep(
                        job.acceptedAtMillis(),
                        "accepted",
                        "submitted by the caller and recorded in the log"));
        for (GangAttempt attempt : job.attempts()) {
            steps.add(placedStep(attempt.placed()));
            if (!attempt.isOpen()) {
                steps.add(endedStep(attempt.ended()));
            }
        }
        steps.sort(Comparator.comparingLong(ExplanationStep::atMillis));
        JobReport report = report(job);
        String summary = report.detail() == null ? "no details are known" : report.detail();
        return new ExplanationReport(job.id(), JOB_KIND, report.state(), summary, steps);
    }

    private Optional<WaitExplanation> waitExplanation(Job job) {
        if (job.state() != JobState.WAITING) {
            return Optional.empty();
        }
        return board.findExplanation(job.id())
                .or(
                        () ->
                                Optional.of(
                                        new WaitExplanation(
                                                NOT_PLANNED,
                                                "the next planning round decides on the job")));
    }

    private static List<PlacementReport> placementReports(GangPlaced gang) {
        return gang.members().stream()
                .map(m -> new PlacementReport(m.task(), m.worker(), m.accelerators()))
                .toList();
    }

    private static ExplanationStep placedStep(GangPlaced gang) {
        String use = gang.claims().isEmpty() ? "borrowed" : "guaranteed";
        String workers = String.join(", ", gang.workers().stream().sorted().toList());
        String detail =
                "attempt %s of the planner with epoch %d: %d tasks on %s, %s accelerators"
                        .formatted(
                                gang.attempt(), gang.epoch(), gang.members().size(), workers, use);
        return new ExplanationStep(gang.placedAtMillis(), "placed", detail);
    }

    private static ExplanationStep endedStep(GangEnded end) {
        String failedWorkers =
                end.workersAtFault().isEmpty()
                        ? ""
                        : " (failed on " + String.join(", ", end.workersAtFault()) + ")";
        String detail =
                "attempt %s: %s%s at %s"
                        .formatted(
                                end.attempt(),
                                end.reason(),
                                failedWorkers,
                                Instant.ofEpochMilli(end.endedAtMillis()));
        return new ExplanationStep(end.endedAtMillis(), end.result().text(), detail);
    }
}
