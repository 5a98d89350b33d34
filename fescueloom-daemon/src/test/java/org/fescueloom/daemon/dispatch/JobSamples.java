package org.fescueloom.daemon.dispatch;

import java.util.List;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;

/** Creates jobs of one step for tests. */
final class JobSamples {
    /** The resources of each task. */
    private static final Resources ONE = new Resources(1_000, 100, 1);

    private JobSamples() {}

    /** Creates a job of one task that saves checkpoints. */
    static Submission singleTask(String id) {
        return job(id, 1, 1_000, false, true);
    }

    /** Creates a job of one step. */
    static Submission job(
            String id, int tasks, long estimateMillis, boolean gang, boolean checkpoints) {
        StepSpec step = step(tasks, ONE, estimateMillis, gang, checkpoints);
        WorkSpec work = new WorkSpec("payload", List.of(step), 0, 0, 1);
        return new Submission(id, "queue", "customer", "service", 0, work);
    }

    /** Creates a step; the tasks of a gang prefer one rack. */
    static StepSpec step(
            int tasks, Resources need, long estimateMillis, boolean gang, boolean checkpoints) {
        return new StepSpec(
                tasks,
                need,
                estimateMillis,
                List.of(),
                gang,
                gang,
                "",
                "",
                0,
                checkpoints,
                false,
                false,
                "",
                0,
                false,
                0);
    }
}
