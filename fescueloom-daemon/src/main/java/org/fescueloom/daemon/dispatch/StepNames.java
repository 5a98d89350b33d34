package org.fescueloom.daemon.dispatch;

import org.fescueloom.work.TaskKey;

/** Names steps, so that what one part notes of a step is found by another. */
final class StepNames {
    private StepNames() {}

    /** Names a step of a job, whatever the occurrence: "JOB.STEP". */
    static String ofStep(String job, int step) {
        return job + '.' + step;
    }

    /** Names a step of one occurrence of a job: "JOB.OCCURRENCE.STEP". */
    static String ofOccurrence(String job, int occurrence, int step) {
        return job + '.' + occurrence + '.' + step;
    }

    /** Names the step of one occurrence that a task belongs to: "JOB.OCCURRENCE.STEP". */
    static String ofOccurrence(TaskKey task) {
        return ofOccurrence(task.job(), task.occurrence(), task.step());
    }
}
