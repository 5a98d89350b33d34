package org.fescueloom.job;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Records that a planner chose workers for all tasks of a job.
 *
 * @param job the job, not null
 * @param attempt the gang attempt, unique for each placement, not null
 * @param epoch the epoch of the planner
 * @param members one entry for each task; null counts as none
 * @param claims the guaranteed blocks that the gang uses; null counts as none, which makes it a
 *     borrower
 * @param cpus how many processor cores each task gets
 * @param memoryMb the memory each task gets, in mebibytes
 * @param resumeMillis how much of the run earlier checkpoints hold, in milliseconds
 * @param placedAtMillis the time of the decision, in milliseconds since the epoch
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
