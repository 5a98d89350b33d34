package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;

/**
 * Represents the decision to leave a job waiting.
 *
 * @param job the identifier of the job, not null
 * @param reason the reason, not null
 * @param missingShape a description of the shape that the job needs and that is not free, not null
 * @param holders the identifiers of some jobs that hold the missing capacity; null means none
 * @param expectedStartMillis the time at which the job is expected to start, in milliseconds since
 *     the epoch; 0 if unknown
 */
public record WaitForCapacity(
        String job,
        WaitReason reason,
        String missingShape,
        List<String> holders,
        long expectedStartMillis)
        implements Decision {
    /** Checks that job, reason and shape are not null and copies the holders. */
    public WaitForCapacity {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(missingShape, "missingShape");
        holders = holders == null ? List.of() : List.copyOf(holders);
    }

    /**
     * Returns a description of why the job waits.
     *
     * @return the description, never null
     */
    public String description() {
        String held = holders.isEmpty() ? "" : "; held by " + String.join(", ", holders);
        return "waits for " + missingShape + " (" + reason.text() + ")" + held;
    }
}
