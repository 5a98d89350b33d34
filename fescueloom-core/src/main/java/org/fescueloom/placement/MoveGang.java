package org.fescueloom.placement;

import java.util.Objects;

/**
 * Takes a checkpoint of a running gang, stops it and lets it start elsewhere.
 *
 * @param job the job to move, not null
 * @param beneficiary the job that gets the room, not null
 * @param lostMillis the work that the move is expected to cost, in accelerator milliseconds
 * @param savedMillis the waiting that it is expected to save, in accelerator milliseconds
 */
public record MoveGang(String job, String beneficiary, long lostMillis, long savedMillis)
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
    public String words() {
        return "moved to close a gap for job " + beneficiary;
    }
}
