package org.fescueloom.job;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Records that a planner placed a gang: that it chose workers for all tasks of a job.
 *
 * @param job the job, not null
 * @param attempt the identifier of the gang attempt, unique for each placement, not null
 * @param epoch the epoch of the planner
 * @param members the members, one for each task; null counts as none
 * @param claims the guaranteed blocks that the gang uses; null counts as none, which makes the gang
 *     a borrower
 * @param cpus the number of processor cores of each task
 * @param memoryMb the memory of each task, in mebibytes
 * @param resumeMillis the run time that earlier checkpoints cover, in milliseconds
 * @param placedAtMillis the time of the placement, in milliseconds since the epoch
 */
public record GangPlaced(
        String job,
        String attempt,
        long epoch,
        List<GangMember> members,
        List<BlockClaim> claims,
        int cpus,
        long memoryMb,
        long resumeMillis,
        long placedAtMillis)
        implements JobRecord {
    /** Checks the names and copies the lists. */
    public GangPlaced {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(attempt, "attempt");
        members = members == null ? List.of() : List.copyOf(members);
        claims = claims == null ? List.of() : List.copyOf(claims);
    }

    /**
     * Returns the workers of the members.
     *
     * @return the distinct workers, never null
     */
    public Set<String> workers() {
        return members.stream().map(GangMember::worker).collect(Collectors.toUnmodifiableSet());
    }
}
