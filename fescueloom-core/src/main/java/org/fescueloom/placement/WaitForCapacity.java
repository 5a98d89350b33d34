package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;

/**
 * Leaves a job waiting.
 *
 * @param job the job, not null
 * @param reason why, not null
 * @param missingShape the shape that is not free, in words, not null
 * @param holders the jobs that hold what is missing, at most a few; null counts as none
 * @param expectedStartMillis when it is expected to start, in milliseconds since the epoch; 0 if
 *     unknown
 */
public record WaitForCapacity(
        String job,
        WaitReason reason,
        String missingShape,
        List<String> holders,
        long expectedStartMillis)
        implements Decision {
    /** Checks the names and copies the holders. */
    public WaitForCapacity {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(missingShape, "missingShape");
        holders = holders == null ? List.of() : List.copyOf(holders);
    }

    /**
     * Says in words why the job waits.
     *
     * @return a sentence, never null
     */
    public String description() {
        String held = holders.isEmpty() ? "" : "; held by " + String.join(", ", holders);
        return "waits for " + missingShape + " (" + reason.text() + ")" + held;
    }
}
