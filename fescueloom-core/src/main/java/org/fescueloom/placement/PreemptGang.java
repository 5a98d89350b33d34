package org.fescueloom.placement;

import java.util.Objects;

/**
 * Stops a running gang, with a checkpoint where it can, to make room for another job.
 *
 * @param job the job to stop, not null
 * @param reason why, not null
 * @param beneficiary the job that gets the room, not null
 */
public record PreemptGang(String job, PreemptReason reason, String beneficiary)
        implements Decision {
    /** Checks that no component is null. */
    public PreemptGang {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(beneficiary, "beneficiary");
    }

    /**
     * Says in words why the gang is stopped.
     *
     * @return a sentence, never null
     */
    public String description() {
        return "stopped for job " + beneficiary + ": " + reason.text();
    }
}
