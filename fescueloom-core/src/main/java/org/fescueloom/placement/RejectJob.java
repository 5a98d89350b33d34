package org.fescueloom.placement;

import java.util.Objects;

/**
 * Refuses a job that no set of workers could ever hold.
 *
 * @param job the job, not null
 * @param largestShape the largest shape of its kind that would do, in words, not null
 */
public record RejectJob(String job, String largestShape) implements Decision {
    /** Checks that no component is null. */
    public RejectJob {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(largestShape, "largestShape");
    }
}
