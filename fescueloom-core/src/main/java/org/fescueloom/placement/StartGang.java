package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.BlockClaim;

/**
 * Represents the decision to start a waiting job now, on free accelerators.
 *
 * @param job the identifier of the job, not null
 * @param members one placement for each task; null means none
 * @param claims the claims of the gang on guaranteed blocks; null means none, and the gang is then
 *     a borrower
 * @param expectedEndMillis the time at which the gang is expected to end, in milliseconds since the
 *     epoch
 */
public record StartGang(
        String job, List<TaskPlacement> members, List<BlockClaim> claims, long expectedEndMillis)
        implements Decision {
    /** Checks that the job is not null and copies the lists. */
    public StartGang {
        Objects.requireNonNull(job, "job");
        members = members == null ? List.of() : List.copyOf(members);
        claims = claims == null ? List.of() : List.copyOf(claims);
    }
}
