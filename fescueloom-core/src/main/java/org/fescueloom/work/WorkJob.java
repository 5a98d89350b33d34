package org.fescueloom.work;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Tracks one job while the dispatcher schedules its tasks.
 *
 * <p>Mutable and not thread-safe. {@link #progress()} returns the part of the state that is stored
 * and outlives the dispatcher.
 */
public final class WorkJob {
    private final Submission submission;
    private final TreeMap<Integer, TaskRecord[][]> tablesByOccurrence = new TreeMap<>();
    private JobPhase phase = JobPhase.ACTIVE;
    private boolean started;
    private long endedAtMillis;
    private int finishedOccurrences;

    /**
     * Creates a job that was just submitted.
     *
     * @param submission the job as its caller submitted it, not null
     */
    public WorkJob(Submission submission) {
        this.submission = Objects.requireNonNull(submission, "submission");
    }

    /**
     * Restores a job from its stored submission and progress.
     *
     * @param submission the job as its caller submitted it, not null
     * @param progress the stored progress of the job, not null
     * @return the job, never null
     */
    public static WorkJob restore(Submission submission, JobProgress progress) {
        WorkJob job = new WorkJob(submission);
        job.phase = progress.phase();
        job.started = progress.begun();
        job.endedAtMillis = progress.endedAtMillis();
        job.finishedOccurrences = progress.finished();
        for (Map.Entry<Integer, List<List<TaskRecord>>> stored : progress.tasks().entrySet()) {
            TaskRecord[][] table = job.table(stored.getKey());
            for (int s = 0; s < table.length && s < stored.getValue().size(); s++) {
                List<TaskRecord> row = stored.getValue().get(s);
                for (int i = 0; i < table[s].length && i < row.size(); i++) {
                    table[s][i] = Objects.requireNonNull(row.get(i), "task");
                }
            }
        }
        return job;
    }

    /**
     * Returns the job as its caller submitted it.
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
     * @return whether the job has started
     */
    public boolean started() {
        return started;
    }

    /**
     * Returns the time at which the job ended.
     *
     * @return milliseconds since 1970; 0 while it is active
     */
    public long endedAtMillis() {
        return endedAtMillis;
    }

    /**
     * Returns the occurrences that are due and not done.
     *
     * @param nowMillis the current time, in milliseconds since 1970
     * @return their numbers, ascending, never null
     */
    public List<Integer> dueOccurrences(long nowMillis) {
        List<Integer> due = new ArrayList<>();
        int count = submission.work().occurrences();
        for (int k = finishedOccurrences;
                k < count && submission.work().dueMillis(k) <= nowMillis;
                k++) {
            if (!occurrenceDone(k)) {
                due.add(k);
            }
        }
        return due;
    }

    /**
     * Returns the time at which the next occurrence becomes due.
     *
     * @param nowMillis the current time, in milliseconds since 1970
     * @return milliseconds since 1970; {@code Long.MAX_VALUE} if none is left
     */
    public long nextDueMillis(long nowMillis) {
        int count = submission.work().occurrences();
        for (int k = finishedOccurrences; k < count; k++) {
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
     * @return an unmodifiable list of the tasks in order of their indexes, never null
     */
    public List<TaskRecord> tasks(int occurrence, int step) {
        return Collections.unmodifiableList(List.of(table(occurrence)[step]));
    }

    /**
     * Returns one task.
     *
     * @param key the key of the task, one of this job, not null
     * @return the record of the task; null if the job has no such task or its occurrence is
     *     finished
     */
    public TaskRecord task(TaskKey key) {
        return hasTask(key) ? table(key.occurrence())[key.step()][key.index()] : null;
    }

    /**
     * Replaces the record of a task.
     *
     * @param key the key of the task, not null
     * @param record the new record, not null
     * @throws IllegalArgumentException if the job has no such task or its occurrence is finished
     */
    public void replaceTask(TaskKey key, TaskRecord record) {
        if (!hasTask(key)) {
            throw new IllegalArgumentException(
                    "the job has no such task, or its occurrence is finished: " + key);
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
     * Tells whether every task of every occurrence is done, and discards the records of leading
     * occurrences that are done.
     *
     * @return whether the job has succeeded
     */
    public boolean allDone() {
        while (finishedOccurrences < submission.work().occurrences()
                && occurrenceDone(finishedOccurrences)) {
            tablesByOccurrence.remove(finishedOccurrences);
            finishedOccurrences++;
        }
        return finishedOccurrences == submission.work().occurrences();
    }

    /**
     * Ends the job; has no effect if it has ended.
     *
     * @param end the final phase, not null
     * @param nowMillis the current time, in milliseconds since 1970
     */
    public void end(JobPhase end, long nowMillis) {
        if (!phase.ended()) {
            phase = end;
            endedAtMillis = nowMillis;
        }
    }

    /**
     * Returns the keys of all assigned tasks.
     *
     * @return the keys, never null
     */
    public List<TaskKey> assignedTasks() {
        List<TaskKey> keys = new ArrayList<>();
        tablesByOccurrence.forEach(
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
     * Returns the status that is reported to the caller.
     *
     * @return the status, never null
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
     * Returns the progress to be stored in the job log. The records of the tasks are left out once
     * the job has ended and no task is assigned.
     *
     * @return the progress, never null
     */
    public JobProgress progress() {
        Map<Integer, List<List<TaskRecord>>> tables = new TreeMap<>();
        if (!phase.ended() || !assignedTasks().isEmpty()) {
            tablesByOccurrence.forEach((k, table) -> tables.put(k, rows(table)));
        }
        return new JobProgress(phase, started, endedAtMillis, tables, finishedOccurrences);
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
        return key.occurrence() >= finishedOccurrences
                && key.occurrence() < submission.work().occurrences()
                && key.step() < steps.size()
                && key.index() < steps.get(key.step()).count();
    }

    private boolean occurrenceDone(int occurrence) {
        if (occurrence < finishedOccurrences) {
            return true;
        }
        if (!tablesByOccurrence.containsKey(occurrence)) {
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
        return tablesByOccurrence.computeIfAbsent(occurrence, k -> newTable());
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
