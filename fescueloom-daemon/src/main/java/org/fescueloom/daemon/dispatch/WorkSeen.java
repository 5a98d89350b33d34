package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.TaskKey;

/**
 * Measures how long the interrupted runs of tasks have worked. A task that has worked for longer
 * than its estimate without an end has an estimate that is too low.
 */
final class WorkSeen {
    /** Estimates are too low by a factor of up to four; longer work had another cause. */
    private static final int MAX_ESTIMATE_FACTOR = 4;

    private final RunLengthLearner runLengths;
    private final Map<String, Map<TaskKey, Long>> millisByJob = new HashMap<>();

    /** The longest work of a task by step, by job. */
    private final Map<String, Map<Integer, Long>> longestByJob = new HashMap<>();

    /** The critical paths that were computed since work was last recorded for their jobs. */
    private final Map<String, Long> criticalPaths = new HashMap<>();

    /** Creates a record without runs; the expected lengths of other runs are learned ones. */
    WorkSeen(RunLengthLearner runLengths) {
        this.runLengths = runLengths;
    }

    /**
     * Records a run that was interrupted. The work of earlier runs counts too if the step saves
     * checkpoints.
     *
     * @param task the key of the task, not null
     * @param spec the step, not null
     * @param millis how long the run worked, as run time on an average upstream
     */
    void recordInterruptedRun(TaskKey task, StepSpec spec, long millis) {
        long seen =
                millisByJob
                        .computeIfAbsent(task.job(), job -> new HashMap<>())
                        .merge(task, millis, spec.checkpoints() ? Math::addExact : Math::max);
        longestByJob
                .computeIfAbsent(task.job(), job -> new HashMap<>())
                .merge(task.step(), seen, Math::max);
        criticalPaths.remove(task.job());
    }

    /** Returns the expected length of a new run of a step, in milliseconds. */
    long expectedRunMillis(Submission submission, StepSpec spec) {
        return runLengths.expectedMillis(submission, spec);
    }

    /**
     * Returns the expected work of a step's tasks, in milliseconds; at least as long as a task has
     * worked.
     */
    private long expectedWorkMillis(Submission submission, int step, StepSpec spec) {
        long expected = expectedRunMillis(submission, spec);
        long seen = longestByJob.getOrDefault(submission.id(), Map.of()).getOrDefault(step, 0L);
        return Math.max(expected, Math.min(seen, MAX_ESTIMATE_FACTOR * expected));
    }

    /** Returns the estimated run time of the critical path of a job, in milliseconds. */
    long criticalPathMillis(Submission submission) {
        return criticalPaths.computeIfAbsent(
                submission.id(), id -> computeCriticalPathMillis(submission));
    }

    private long computeCriticalPathMillis(Submission submission) {
        List<StepSpec> steps = submission.work().steps();
        return submission
                .work()
                .criticalPathMillis(i -> expectedWorkMillis(submission, i, steps.get(i)));
    }

    /** Removes what was recorded for a job. */
    void forgetJob(String job) {
        millisByJob.remove(job);
        longestByJob.remove(job);
        criticalPaths.remove(job);
    }
}
