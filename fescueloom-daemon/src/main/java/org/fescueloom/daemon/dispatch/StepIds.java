package org.fescueloom.daemon.dispatch;

import org.fescueloom.work.TaskKey;

/** Names steps, so that what one part notes of a step is found by another. */
final class StepIds {
    private StepIds() {}

    /** Names a step of a job, whatever the occurrence: "JOB.STEP". */
    static String stepId(String job, int step) {
        return job + '.' + step;
    }

    /** Names a step of one occurrence of a job: "JOB.OCCURRENCE.STEP". */
    static String occurrenceStepId(String job, int occurrence, int step) {
        return job + '.' + occurrence + '.' + step;
    }

    /** Names the step of one occurrence that a task belongs to: "JOB.OCCURRENCE.STEP". */
    static String occurrenceStepId(TaskKey task) {
        return occurrenceStepId(task.job(), task.occurrence(), task.step());
    }
}
