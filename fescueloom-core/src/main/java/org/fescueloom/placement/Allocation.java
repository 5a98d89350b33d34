package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.BlockClaim;
import org.fescueloom.job.JobSpec;

/**
 * Describes a gang that holds accelerators, processor cores and memory.
 *
 * @param job the job, not null
 * @param spec what the caller submitted, not null
 * @param members where its tasks are; null counts as none
 * @param claims the guaranteed blocks that it uses; null counts as none
 * @param startedAtMillis when it was placed, in milliseconds since the epoch
 * @param checkpointedAtMillis when its last checkpoint was taken, in milliseconds since the epoch;
 *     the start if there is none
 * @param expectedEndMillis when it is expected to end, in milliseconds since the epoch
 * @param stopping whether it has been told to stop
 */
public record Allocation(
        String job,
        JobSpec spec,
        List<TaskPlacement> members,
        List<BlockClaim> claims,
        long startedAtMillis,
        long checkpointedAtMillis,
        long expectedEndMillis,
        boolean stopping) {
    /** Checks the names and copies the lists. */
    public Allocation {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(spec, "spec");
        members = members == null ? List.of() : List.copyOf(members);
        claims = claims == null ? List.of() : List.copyOf(claims);
    }

    /**
     * Tells whether the gang uses accelerators beyond its customer's guarantee.
     *
     * @return whether it has no claim on a guaranteed block
     */
    public boolean isBorrower() {
        return claims.isEmpty();
    }

    /**
     * Returns how many accelerators the gang holds.
     *
     * @return the number, at least 0
     */
    public int accelerators() {
        return members.stream().mapToInt(m -> m.accelerators().size()).sum();
    }

    /**
     * Returns this gang without claims.
     *
     * @return the gang as a borrower, never null
     */
    public Allocation withoutClaims() {
        return new Allocation(
                job,
                spec,
                members,
                null,
                startedAtMillis,
                checkpointedAtMillis,
                expectedEndMillis,
                stopping);
    }
}
