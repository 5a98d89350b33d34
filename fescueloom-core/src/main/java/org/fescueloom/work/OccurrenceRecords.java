package org.fescueloom.work;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * Holds the records of the tasks of one occurrence. Counts them by step, so that the state of a
 * step is known without looking at each of its tasks, or at each step that it depends on.
 */
final class OccurrenceRecords {
    private final StepGraph graph;
    private final TaskRecord[][] records;
    private final int[] waitingTasks;
    private final int[] doneTasks;

    /** The number of steps that are not done, among those that a step depends on. */
    private final int[] openDependencies;

    private int openSteps;
    private int tasksWithFailures;

    /** Creates the records of tasks that were never assigned. */
    OccurrenceRecords(List<StepSpec> steps, StepGraph graph) {
        this.graph = graph;
        records = new TaskRecord[steps.size()][];
        waitingTasks = new int[records.length];
        doneTasks = new int[records.length];
        openDependencies = new int[records.length];
        openSteps = records.length;
        for (int step = 0; step < records.length; step++) {
            records[step] = new TaskRecord[steps.get(step).count()];
            Arrays.fill(records[step], TaskRecord.NEW);
            waitingTasks[step] = records[step].length;
            openDependencies[step] = steps.get(step).after().size();
        }
        for (int step = 0; step < records.length; step++) {
            if (isStepDone(step)) {
                onStepDone(step);
            }
        }
    }

    TaskRecord get(int step, int index) {
        return records[step][index];
    }

    void set(int step, int index, TaskRecord record) {
        TaskRecord replaced = records[step][index];
        records[step][index] = record;
        waitingTasks[step] += count(record, TaskPhase.WAITING) - count(replaced, TaskPhase.WAITING);
        tasksWithFailures += Integer.signum(record.failures());
        tasksWithFailures -= Integer.signum(replaced.failures());
        boolean doneBefore = isStepDone(step);
        doneTasks[step] += count(record, TaskPhase.DONE) - count(replaced, TaskPhase.DONE);
        if (!doneBefore && isStepDone(step)) {
            onStepDone(step);
        } else if (doneBefore && !isStepDone(step)) {
            openSteps++;
            for (int dependent : graph.dependents(step)) {
                openDependencies[dependent]++;
            }
        }
    }

    private static int count(TaskRecord record, TaskPhase phase) {
        return record.phase() == phase ? 1 : 0;
    }

    private void onStepDone(int step) {
        openSteps--;
        for (int dependent : graph.dependents(step)) {
            openDependencies[dependent]--;
        }
    }

    /** Returns the number of tasks of a step. */
    int size(int step) {
        return records[step].length;
    }

    int stepCount() {
        return records.length;
    }

    /** Returns an unmodifiable copy of the tasks of a step. */
    List<TaskRecord> tasks(int step) {
        return Collections.unmodifiableList(List.of(records[step]));
    }

    /** Returns the tasks of all steps. */
    List<List<TaskRecord>> allTasks() {
        List<List<TaskRecord>> lists = new ArrayList<>();
        for (TaskRecord[] recordsOfStep : records) {
            lists.add(List.of(recordsOfStep));
        }
        return lists;
    }

    int waitingTasks(int step) {
        return waitingTasks[step];
    }

    boolean isStepDone(int step) {
        return doneTasks[step] == records[step].length;
    }

    /** Tests whether every step that a step depends on is done. */
    boolean isStepReady(int step) {
        return openDependencies[step] == 0;
    }

    boolean isDone() {
        return openSteps == 0;
    }

    /** Tests whether a run of any task has failed. */
    boolean hasFailures() {
        return tasksWithFailures > 0;
    }
}
