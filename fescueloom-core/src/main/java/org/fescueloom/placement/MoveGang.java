package org.fescueloom.placement;

import java.util.Objects;

/**
 * Takes a checkpoint of a running gang, stops it and lets it start elsewhere.
 *
 * @param job the job to move, not null
 * @param beneficiary the job that gets the room, not null
 * @param lostAcceleratorMillis the work that the move is expected to cost, in accelerator
 *     milliseconds
 * @param savedAcceleratorMillis the waiting that it is expected to save, in accelerator
 *     milliseconds
 */
public record MoveGang(
        String job, String beneficiary, long lostAcceleratorMillis, long savedAcceleratorMillis)
        implements Decision {
    /** Checks that the jobs are given. */
    public MoveGang {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(beneficiary, "beneficiary");
    }

    /**
     * Says in words why the gang is moved.
     *
     * @return a sentence, never null
     */
    public String description() {
        return "moved to close a gap for job " + beneficiary;
    }
}
