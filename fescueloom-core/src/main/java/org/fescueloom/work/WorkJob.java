package org.fescueloom.work;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks one job while the dispatcher schedules its tasks.
 *
 * <p>Mutable and not thread-safe. {@link #progress()} returns the state to store; a new dispatcher
 * restores the job from it.
 */
public final class WorkJob {
    /**
     * The maximum number of due occurrences that are worked on at a time; a schedule may be due
     * thousands of times at once.
     */
    static final int MAX_OPEN_OCCURRENCES = 256;

    private final Submission submission;

    /** The blocks that have changed since {@link #takeChangedBlocks()}. */
    private final Set<TaskBlock> changedBlocks = new LinkedHashSet<>();

    /** The blocks that were taken to be stored, or restored, and are not obsolete. */
    private final Set<TaskBlock> storedBlocks = new LinkedHashSet<>();

    /**
     * The records of the tasks by occurrence. An occurrence is missing before its first use and
     * after its records were discarded.
     */
    private final TreeMap<Integer, OccurrenceRecords> recordsByOccurrence = new TreeMap<>();

    private final StepGraph graph;
    private final long tasksPerOccurrence;

    private JobPhase phase = JobPhase.ACTIVE;
    private boolean started;
    private long endedAtMillis;

    /**
     * The first occurrence whose records are kept. All earlier occurrences are done, and their
     * records were discarded.
     */
    private int firstKeptOccurrence;

    /** The value of {@link #firstKeptOccurrence} when obsolete blocks were last searched. */
    private int searchedOccurrence;

    /**
     * Creates a job that was just submitted.
     *
     * @param submission the job as its caller submitted it, not null
     */
    public WorkJob(Submission submission) {
        this.submission = Objects.requireNonNull(submission, "submission");
        graph = new StepGraph(submission.work().steps());
        tasksPerOccurrence = submission.work().tasksPerOccurrence();
    }

    /**
     * Restores a job from its stored submission and progress. Stored records of steps and tasks
     * that the submission does not have are ignored; tasks without a stored record count as never
     * assigned.
     *
     * @param submission the job as its caller submitted it, not null
     * @param progress the stored progress of the job, not null
     * @return the job, never null
     */
    public static WorkJob restore(Submission submission, JobProgress progress) {
        return restore(submission, progress, Map.of());
    }

    /**
     * Restores a job from its stored submission, progress and blocks of tasks. Stored records of
     * steps and tasks that the submission does not have are ignored; tasks without a stored record
     * count as never assigned.
     *
     * @param submission the job as its caller submitted it, not null
     * @param progress the stored progress of the job, not null
     * @param blocks the stored records of the tasks by block, not null
     * @return the job, never null
     */
    public static WorkJob restore(
            Submission submission, JobProgress progress, Map<TaskBlock, List<TaskRecord>> blocks) {
        WorkJob job = new WorkJob(submission);
        job.phase = progress.phase();
        job.started = progress.begun();
        job.endedAtMillis = progress.endedAtMillis();
        job.firstKeptOccurrence = progress.finished();
        for (Map.Entry<Integer, List<List<TaskRecord>>> stored : progress.tasks().entrySet()) {
            for (int step = 0; step < stored.getValue().size(); step++) {
                job.restoreTasks(stored.getKey(), step, 0, stored.getValue().get(step));
            }
        }
        // An earlier version stored the tasks of large jobs with the progress.
        job.markAssignedBlocksChanged();
        blocks.forEach(
                (block, tasks) -> {
                    job.storedBlocks.add(block);
                    if (block.occurrence() >= job.firstKeptOccurrence) {
                        job.restoreTasks(
                                block.occurrence(), block.step(), block.firstIndex(), tasks);
                    }
                });
        return job;
    }

    private void restoreTasks(int occurrence, int step, int firstIndex, List<TaskRecord> tasks) {
        OccurrenceRecords records = records(occurrence);
        for (int i = 0; i < tasks.size(); i++) {
            TaskRecord task = Objects.requireNonNull(tasks.get(i), "task");
            if (step < records.stepCount() && firstIndex + i < records.size(step)) {
                boolean endless = submission.work().steps().get(step).endless();
                records.set(step, firstIndex + i, endless ? task.notDone() : task);
                started |= task.phase() != TaskPhase.WAITING;
            }
        }
    }

    private void markAssignedBlocksChanged() {
        recordsByOccurrence.forEach(
                (occurrence, records) -> {
                    for (int step = 0; step < records.stepCount(); step++) {
                        for (int index = 0; index < records.size(step); index++) {
                            if (records.get(step, index) != TaskRecord.NEW) {
                                markChanged(new TaskKey(submission.id(), occurrence, step, index));
                            }
                        }
                    }
                });
    }

    private void markChanged(TaskKey key) {
        if (storedInBlocks()) {
            changedBlocks.add(TaskBlock.of(key));
        }
    }

    /**
     * Tells whether the records of the tasks are stored in blocks, because one record would be too
     * long for all of them.
     *
     * @return whether {@link #progress()} leaves out the tasks
     */
    public boolean storedInBlocks() {
        return tasksPerOccurrence * submission.work().occurrences() > TaskBlock.MAX_TASKS;
    }

    /**
     * Returns the blocks that have changed since the last call, which the caller has to store.
     *
     * @return the blocks, never null; empty unless the tasks are stored in blocks
     */
    public Set<TaskBlock> takeChangedBlocks() {
        Set<TaskBlock> changed = new LinkedHashSet<>(changedBlocks);
        changedBlocks.clear();
        storedBlocks.addAll(changed);
        return changed;
    }

    /**
     * Returns the stored blocks that are no longer needed once the present progress is stored, and
     * which the caller then has to delete.
     *
     * @return the blocks of occurrences that are done; all blocks if the job has ended and no task
     *     is assigned; never null
     */
    public Set<TaskBlock> takeObsoleteBlocks() {
        boolean over = phase.ended() && !storedBlocks.isEmpty() && assignedTasks().isEmpty();
        if (!over && searchedOccurrence == firstKeptOccurrence) {
            return Set.of();
        }
        searchedOccurrence = firstKeptOccurrence;
        Set<TaskBlock> obsolete = new LinkedHashSet<>();
        for (TaskBlock block : storedBlocks) {
            if (over || block.occurrence() < firstKeptOccurrence) {
                obsolete.add(block);
            }
        }
        storedBlocks.removeAll(obsolete);
        return obsolete;
    }

    /**
     * Returns the records of the tasks of a block.
     *
     * @param block the block, not null
     * @return the records in order of the indexes of their tasks, never null; all are done if the
     *     occurrence is done and its records were discarded
     */
    public List<TaskRecord> tasks(TaskBlock block) {
        int count = submission.work().steps().get(block.step()).count();
        int first = block.firstIndex();
        int last = Math.min(count, first + TaskBlock.MAX_TASKS);
        if (block.occurrence() < firstKeptOccurrence) {
            return Collections.nCopies(
                    last - first, new TaskRecord(TaskPhase.DONE, 0, null, 0, ""));
        }
        return records(block.occurrence()).tasks(block.step()).subList(first, last);
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
     * Returns the phase of this job.
     *
     * @return the phase, never null
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Tells whether any task of this job was ever assigned to an upstream.
     *
     * @return whether a task was ever assigned
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
     * Returns the occurrences that are due and not done, the earliest {@value
     * #MAX_OPEN_OCCURRENCES} of them. If occurrences are large, fewer are returned, so that the
     * records of at most {@value WorkSpec#MAX_TASKS} tasks are kept.
     *
     * @param nowMillis the current time, in milliseconds since 1970
     * @return the numbers of these occurrences, ascending, never null
     */
    public List<Integer> dueOccurrences(long nowMillis) {
        List<Integer> due = new ArrayList<>();
        WorkSpec work = submission.work();
        long maxKept = Math.max(1, WorkSpec.MAX_TASKS / tasksPerOccurrence);
        long end = Math.min(work.occurrences(), firstKeptOccurrence + maxKept);
        for (int occurrence = firstKeptOccurrence;
                occurrence < end
                        && due.size() < MAX_OPEN_OCCURRENCES
                        && work.dueMillis(occurrence) <= nowMillis;
                occurrence++) {
            if (!isOccurrenceDone(occurrence)) {
                due.add(occurrence);
            }
        }
        return due;
    }

    /**
     * Returns the time at which the next occurrence becomes due, among those that are not due yet.
     *
     * @param nowMillis the current time, in milliseconds since 1970
     * @return milliseconds since 1970; {@code Long.MAX_VALUE} if no occurrence becomes due later
     */
    public long nextDueMillis(long nowMillis) {
        int count = submission.work().occurrences();
        for (int occurrence = firstKeptOccurrence; occurrence < count; occurrence++) {
            if (submission.work().dueMillis(occurrence) > nowMillis) {
                return submission.work().dueMillis(occurrence);
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * Returns the tasks of a step.
     *
     * @param occurrence the number of the occurrence, one whose records were not discarded
     * @param step the number of the step, from 0
     * @return an unmodifiable list of the tasks in order of their indexes, never null
     */
    public List<TaskRecord> tasks(int occurrence, int step) {
        return records(occurrence).tasks(step);
    }

    /**
     * Returns one task.
     *
     * @param key the key of the task, not null; the identifier of the job in the key is not checked
     * @return the record of the task; null if the job has no such task, or the records of its
     *     occurrence were discarded
     */
    public TaskRecord task(TaskKey key) {
        return hasTask(key) ? records(key.occurrence()).get(key.step(), key.index()) : null;
    }

    /**
     * Replaces the record of a task.
     *
     * @param key the key of the task, not null
     * @param record the new record, not null
     * @throws IllegalArgumentException if the job has no such task, or the records of its
     *     occurrence were discarded
     */
    public void replaceTask(TaskKey key, TaskRecord record) {
        if (!hasTask(key)) {
            throw new IllegalArgumentException(
                    "no record of task "
                            + key
                            + " in job "
                            + submission.id()
                            + ", which keeps the occurrences from "
                            + firstKeptOccurrence
                            + " to "
                            + (submission.work().occurrences() - 1));
        }
        records(key.occurrence()).set(key.step(), key.index(), record);
        markChanged(key);
        started |= record.phase() != TaskPhase.WAITING;
    }

    /**
     * Tells whether a step may start.
     *
     * @param occurrence the number of the occurrence, one whose records were not discarded
     * @param step the number of the step, from 0
     * @return whether every task of the steps that it depends on is done
     */
    public boolean isStepReady(int occurrence, int step) {
        return records(occurrence).isStepReady(step);
    }

    /**
     * Tells whether the records of an occurrence are kept, or not needed yet.
     *
     * @param occurrence the number of the occurrence, from 0
     * @return whether the records were not discarded
     */
    public boolean hasRecords(int occurrence) {
        return occurrence >= firstKeptOccurrence;
    }

    /**
     * Returns the number of tasks of a step that wait for a run.
     *
     * @param occurrence the number of the occurrence, one whose records were not discarded
     * @param step the number of the step, from 0
     * @return the number of waiting tasks
     */
    public int waitingTasks(int occurrence, int step) {
        return records(occurrence).waitingTasks(step);
    }

    /**
     * Tells whether a run of any task has failed, among the tasks whose records are kept.
     *
     * @return whether a task has a failed run
     */
    public boolean hasFailures() {
        return recordsByOccurrence.values().stream().anyMatch(OccurrenceRecords::hasFailures);
    }

    /**
     * Tells whether every task of a step is done.
     *
     * @param occurrence the number of the occurrence, one whose records were not discarded
     * @param step the number of the step, from 0
     * @return whether the step is done
     */
    public boolean isStepDone(int occurrence, int step) {
        return records(occurrence).isStepDone(step);
    }

    /**
     * Discards the records of the done occurrences before the first occurrence that is not done,
     * and tells whether all occurrences are done.
     *
     * @return whether every task of every occurrence is done; the phase does not change
     */
    public boolean discardDoneOccurrences() {
        while (firstKeptOccurrence < submission.work().occurrences()
                && isOccurrenceDone(firstKeptOccurrence)) {
            recordsByOccurrence.remove(firstKeptOccurrence);
            firstKeptOccurrence++;
        }
        return firstKeptOccurrence == submission.work().occurrences();
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
        recordsByOccurrence.forEach(
                (occurrence, records) -> {
                    for (int step = 0; step < records.stepCount(); step++) {
                        for (int index = 0; index < records.size(step); index++) {
                            if (records.get(step, index).phase() == TaskPhase.ASSIGNED) {
                                keys.add(new TaskKey(submission.id(), occurrence, step, index));
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
     * Returns the progress to be stored in the job log. The records of the tasks are left out if
     * they are stored in blocks; and once the job has ended and no task is assigned, because no
     * task has to be scheduled or stopped any more.
     *
     * @return the progress, never null
     */
    public JobProgress progress() {
        Map<Integer, List<List<TaskRecord>>> stored = new TreeMap<>();
        if (!storedInBlocks() && (!phase.ended() || !assignedTasks().isEmpty())) {
            recordsByOccurrence.forEach(
                    (occurrence, records) -> stored.put(occurrence, records.allTasks()));
        }
        return new JobProgress(phase, started, endedAtMillis, stored, firstKeptOccurrence);
    }

    private boolean hasTask(TaskKey key) {
        List<StepSpec> steps = submission.work().steps();
        return key.occurrence() >= firstKeptOccurrence
                && key.occurrence() < submission.work().occurrences()
                && key.step() < steps.size()
                && key.index() < steps.get(key.step()).count();
    }

    private boolean isOccurrenceDone(int occurrence) {
        if (occurrence < firstKeptOccurrence) {
            return true;
        }
        // No task of an occurrence without records was ever assigned.
        OccurrenceRecords records = recordsByOccurrence.get(occurrence);
        return records != null && records.isDone();
    }

    private OccurrenceRecords records(int occurrence) {
        return recordsByOccurrence.computeIfAbsent(
                occurrence, number -> new OccurrenceRecords(submission.work().steps(), graph));
    }
}
