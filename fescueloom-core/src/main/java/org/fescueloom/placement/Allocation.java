package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.BlockClaim;
import org.fescueloom.job.JobSpec;

/**
 * Describes a gang that holds accelerators, processor cores and memory on workers.
 *
 * @param job the identifier of the job, not null
 * @param spec the specification that the caller submitted, not null
 * @param members the placements of the tasks; null means none
 * @param claims the claims of the gang on guaranteed blocks; null means none
 * @param startedAtMillis the time at which the gang was placed, in milliseconds since the epoch
 * @param checkpointedAtMillis the time of the last checkpoint, in milliseconds since the epoch; the
 *     start time if there is no checkpoint
 * @param expectedEndMillis the time at which the gang is expected to end, in milliseconds since the
 *     epoch
 * @param stopping whether the gang has been told to stop
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
    /** Checks that job and specification are not null and copies the lists. */
    public Allocation {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(spec, "spec");
        members = members == null ? List.of() : List.copyOf(members);
        claims = claims == null ? List.of() : List.copyOf(claims);
    }

    /**
     * Returns whether the gang is a borrower: it uses accelerators beyond its customer's guarantee.
     *
     * @return {@code true} if the gang has no claim on a guaranteed block
     */
    public boolean isBorrower() {
        return claims.isEmpty();
    }

    /**
     * Returns the number of accelerators that the gang holds.
     *
     * @return the number, at least 0
     */
    public int accelerators() {
        return members.stream().mapToInt(m -> m.accelerators().size()).sum();
    }

    /**
     * Returns a copy of this allocation without claims.
     *
     * @return the copy, which is a borrower, never null
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
