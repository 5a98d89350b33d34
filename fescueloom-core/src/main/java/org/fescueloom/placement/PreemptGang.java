package org.fescueloom.placement;

import java.util.Objects;

/**
 * Represents the decision to stop a running gang, with a checkpoint if the gang supports
 * checkpoints, so that another job can start.
 *
 * @param job the identifier of the job to stop, not null
 * @param reason the reason, not null
 * @param beneficiary the identifier of the job that gets the capacity, not null
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
     * Returns a description of why the gang is stopped.
     *
     * @return the description, never null
     */
    public String description() {
        return "stopped for job " + beneficiary + ": " + reason.text();
    }
}
