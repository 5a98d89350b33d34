package org.fescueloom.daemon.dispatch;

import org.fescueloom.work.TaskKey;

/** Creates the identifiers by which the components of a dispatcher share data about steps. */
final class StepIds {
    private StepIds() {}

    /** Returns the identifier of a step for all occurrences of a job: "JOB.STEP". */
    static String stepId(String job, int step) {
        return job + '.' + step;
    }

    /** Returns the identifier of a step in one occurrence of a job: "JOB.OCCURRENCE.STEP". */
    static String occurrenceStepId(String job, int occurrence, int step) {
        return job + '.' + occurrence + '.' + step;
    }

    /** Returns the identifier of the step of a task in its occurrence: "JOB.OCCURRENCE.STEP". */
    static String occurrenceStepId(TaskKey task) {
        return occurrenceStepId(task.job(), task.occurrence(), task.step());
    }
}
