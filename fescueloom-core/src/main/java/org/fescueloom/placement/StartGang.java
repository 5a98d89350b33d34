package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.BlockClaim;

/**
 * Starts a waiting job now, on accelerators that are free.
 *
 * @param job the job, not null
 * @param members one placement for each task; null counts as none
 * @param claims the guaranteed blocks that it uses; null counts as none, which makes it a borrower
 * @param expectedEndMillis when it is expected to end, in milliseconds since the epoch
 */
public record StartGang(
        String job, List<TaskPlacement> members, List<BlockClaim> claims, long expectedEndMillis)
        implements Decision {
    /** Checks the job and copies the lists. */
    public StartGang {
        Objects.requireNonNull(job, "job");
        members = members == null ? List.of() : List.copyOf(members);
        claims = claims == null ? List.of() : List.copyOf(claims);
    }
}
