package org.fescueloom.work;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Tracks one job while its owner plans it.
 *
 * <p>Mutable and not thread-safe. All that must outlive the owner is in {@link #progress()}.
 */
public final class WorkJob {
    private final Submission submission;
    private final TreeMap<Integer, TaskRecord[][]> occurrences = new TreeMap<>();
    private JobPhase phase = JobPhase.ACTIVE;
    private boolean started;
    private long endedAtMillis;
    private int finished;

    /**
     * Creates a job that was just accepted.
     *
     * @param submission what was handed in, not null
     */
    public WorkJob(Submission submission) {
        this.submission = Objects.requireNonNull(submission, "submission");
    }

    /**
     * Restores a job from what was kept.
     *
     * @param submission what was handed in, not null
     * @param progress what has become of it, not null
     * @return the job, never null
     */
    public static WorkJob restore(Submission submission, JobProgress progress) {
        WorkJob job = new WorkJob(submission);
        job.phase = progress.phase();
        job.started = progress.begun();
        job.endedAtMillis = progress.endedAtMillis();
        job.finished = progress.finished();
        for (Map.Entry<Integer, List<List<TaskRecord>>> kept : progress.tasks().entrySet()) {
            TaskRecord[][] table = job.table(kept.getKey());
            for (int s = 0; s < table.length && s < kept.getValue().size(); s++) {
                List<TaskRecord> row = kept.getValue().get(s);
                for (int i = 0; i < table[s].length && i < row.size(); i++) {
                    table[s][i] = Objects.requireNonNull(row.get(i), "task");
                }
            }
        }
        return job;
    }

    /**
     * Returns what was handed in.
     *
     * @return the submission, never null
     */
    public Submission submission() {
        return submission;
    }

    /**
     * Returns the phase.
     *
     * @return the phase, never null
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Tells whether a task has ever been assigned.
     *
     * @return whether the job has begun
     */
    public boolean started() {
        return started;
    }

    /**
     * Returns when the job ended.
     *
     * @return milliseconds since 1970; 0 while it is active
     */
    public long endedAtMillis() {
        return endedAtMillis;
    }

    /**
     * Returns the occurrences that are due and not finished.
     *
     * @param nowMillis the time, in milliseconds since 1970
     * @return their numbers, ascending, never null
     */
    public List<Integer> dueOccurrences(long nowMillis) {
        List<Integer> due = new ArrayList<>();
        int count = submission.work().occurrences();
        for (int k = finished; k < count && submission.work().dueMillis(k) <= nowMillis; k++) {
            if (!occurrenceDone(k)) {
                due.add(k);
            }
        }
        return due;
    }

    /**
     * Returns when the next occurrence becomes due.
     *
     * @param nowMillis the time, in milliseconds since 1970
     * @return milliseconds since 1970; {@code Long.MAX_VALUE} if none is left
     */
    public long nextDueMillis(long nowMillis) {
        int count = submission.work().occurrences();
        for (int k = finished; k < count; k++) {
            if (submission.work().dueMillis(k) > nowMillis) {
                return submission.work().dueMillis(k);
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * Returns the tasks of a step.
     *
     * @param occurrence the occurrence, from 0
     * @param step the step, from 0
     * @return the tasks in order, never null; not to be changed
     */
    public List<TaskRecord> tasks(int occurrence, int step) {
        return Collections.unmodifiableList(List.of(table(occurrence)[step]));
    }

    /**
     * Returns one task.
     *
     * @param key its name, of this job, not null
     * @return the task, or null if the job has no such task
     */
    public TaskRecord task(TaskKey key) {
        return hasTask(key) ? table(key.occurrence())[key.step()][key.index()] : null;
    }

    /**
     * Replaces a task.
     *
     * @param key its name, not null
     * @param record the new record, not null
     * @throws IllegalArgumentException if the job has no such task
     */
    public void replaceTask(TaskKey key, TaskRecord record) {
        if (!hasTask(key)) {
            throw new IllegalArgumentException("no such task: " + key);
        }
        table(key.occurrence())[key.step()][key.index()] = record;
        started |= record.phase() != TaskPhase.WAITING;
    }

    /**
     * Tells whether a step may start.
     *
     * @param occurrence the occurrence, from 0
     * @param step the step, from 0
     * @return whether every task of the steps that it depends on is done
     */
    public boolean isStepReady(int occurrence, int step) {
        for (int before : submission.work().steps().get(step).after()) {
            if (!isStepDone(occurrence, before)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether every task of a step is done.
     *
     * @param occurrence the occurrence, from 0
     * @param step the step, from 0
     * @return whether the step is done
     */
    public boolean isStepDone(int occurrence, int step) {
        for (TaskRecord task : table(occurrence)[step]) {
            if (task.phase() != TaskPhase.DONE) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether every task of every occurrence is done.
     *
     * @return whether the job has succeeded
     */
    public boolean allDone() {
        while (finished < submission.work().occurrences() && occurrenceDone(finished)) {
            occurrences.remove(finished);
            finished++;
        }
        return finished == submission.work().occurrences();
    }

    /**
     * Ends the job; has no effect if it has ended.
     *
     * @param end the phase, one that is final, not null
     * @param nowMillis the time, in milliseconds since 1970
     */
    public void end(JobPhase end, long nowMillis) {
        if (!phase.ended()) {
            phase = end;
            endedAtMillis = nowMillis;
        }
    }

    /**
     * Returns the names of all tasks that have a recorded run.
     *
     * @return the names, never null
     */
    public List<TaskKey> assignedTasks() {
        List<TaskKey> keys = new ArrayList<>();
        occurrences.forEach(
                (k, table) -> {
                    for (int s = 0; s < table.length; s++) {
                        for (int i = 0; i < table[s].length; i++) {
                            if (table[s][i].phase() == TaskPhase.ASSIGNED) {
                                keys.add(new TaskKey(submission.id(), k, s, i));
                            }
                        }
                    }
                });
        return keys;
    }

    /**
     * Returns the state that a caller is told.
     *
     * @return the state, never null
     */
    public JobStatus status() {
        return switch (phase) {
            case SUCCEEDED -> JobStatus.SUCCEEDED;
            case FAILED -> JobStatus.FAILED;
            case CANCELLED -> JobStatus.CANCELLED;
            case ACTIVE -> started ? JobStatus.RUNNING : JobStatus.QUEUED;
        };
    }

    /**
     * Returns what must outlive the owner.
     *
     * @return the progress, never null
     */
    public JobProgress progress() {
        Map<Integer, List<List<TaskRecord>>> kept = new TreeMap<>();
        if (!phase.ended() || !assignedTasks().isEmpty()) {
            occurrences.forEach((k, table) -> kept.put(k, rows(table)));
        }
        return new JobProgress(phase, started, endedAtMillis, kept, finished);
    }

    private static List<List<TaskRecord>> rows(TaskRecord[][] table) {
        List<List<TaskRecord>> rows = new ArrayList<>();
        for (TaskRecord[] row : table) {
            rows.add(List.of(row));
        }
        return rows;
    }

    private boolean hasTask(TaskKey key) {
        List<StepSpec> steps = submission.work().steps();
        return key.occurrence() >= finished
                && key.occurrence() < submission.work().occurrences()
                && key.step() < steps.size()
                && key.index() < steps.get(key.step()).count();
    }

    private boolean occurrenceDone(int occurrence) {
        if (occurrence < finished) {
            return true;
        }
        if (!occurrences.containsKey(occurrence)) {
            return false;
        }
        for (int s = 0; s < submission.work().steps().size(); s++) {
            if (!isStepDone(occurrence, s)) {
                return false;
            }
        }
        return true;
    }

    private TaskRecord[][] table(int occurrence) {
        return occurrences.computeIfAbsent(occurrence, k -> newTable());
    }

    private TaskRecord[][] newTable() {
        List<StepSpec> steps = submission.work().steps();
        TaskRecord[][] table = new TaskRecord[steps.size()][];
        for (int s = 0; s < table.length; s++) {
            table[s] = new TaskRecord[steps.get(s).count()];
            Arrays.fill(table[s], TaskRecord.NEW);
        }
        return table;
    }
}
