package org.fescueloom.placement;

import java.util.Objects;

/**
 * Represents the decision to take a checkpoint of a running gang, stop the gang and let it start
 * elsewhere.
 *
 * @param job the identifier of the job to move, not null
 * @param beneficiary the identifier of the job that gets the capacity, not null
 * @param lostAcceleratorMillis the work that the move is expected to lose, in accelerator
 *     milliseconds
 * @param savedAcceleratorMillis the waiting time that the move is expected to save, in accelerator
 *     milliseconds
 */
public record MoveGang(
        String job, String beneficiary, long lostAcceleratorMillis, long savedAcceleratorMillis)
        implements Decision {
    /** Checks that both jobs are not null. */
    public MoveGang {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(beneficiary, "beneficiary");
    }

    /**
     * Returns a description of why the gang is moved.
     *
     * @return the description, never null
     */
    public String description() {
        return "moved to free adjacent accelerators for job " + beneficiary;
    }
}
