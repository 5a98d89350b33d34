package org.fescueloom.placement;

import java.util.Objects;

/**
 * Represents the decision to reject a job that no set of workers could ever hold.
 *
 * @param job the identifier of the job, not null
 * @param largestShape a description of the largest variant of the job that the workers could hold,
 *     not null; "none" if there is none
 */
public record RejectJob(String job, String largestShape) implements Decision {
    /** Checks that no component is null. */
    public RejectJob {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(largestShape, "largestShape");
    }
}
