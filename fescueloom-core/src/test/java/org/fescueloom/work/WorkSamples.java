package org.fescueloom.work;

import java.util.List;

/** Creates steps and jobs for tests. */
public final class WorkSamples {
    private WorkSamples() {}

    /** Creates a step of single tasks. */
    public static StepSpec step(int count, Resources need, Integer... after) {
        return step(count, need, false, "", List.of(after));
    }

    /** Creates a gang step whose tasks prefer one rack. */
    public static StepSpec gang(int count, Resources need) {
        return step(count, need, true, "", List.of());
    }

    /** Creates a step of single tasks or a gang step; a gang prefers one rack. */
    public static StepSpec step(
            int count, Resources need, boolean gang, String rack, List<Integer> after) {
        return new StepSpec(
                count, need, 1_000, after, gang, gang, "", rack, 0, true, false, false, "", 0,
                false, 0);
    }

    /** Creates a job that is due at once. */
    public static Submission job(String id, StepSpec... steps) {
        WorkSpec work = new WorkSpec("payload", List.of(steps), 0, 0, 1);
        return new Submission(id, "queue", "customer", "service", 1_000, work);
    }
}
