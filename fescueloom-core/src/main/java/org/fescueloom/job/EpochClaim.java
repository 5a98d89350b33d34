package org.fescueloom.job;

import java.util.Objects;

/**
 * Claims the role of the planner for one entry. The offset of the record in the {@code epochs}
 * stream is the epoch.
 *
 * @param version the version of the record format, see {@link #VERSION}
 * @param entry the identifier of the entry that claims, not null
 * @param incarnation the number of the incarnation of the entry
 * @param claimedAtMillis the time of the claim, in milliseconds since the epoch
 */
public record EpochClaim(int version, String entry, long incarnation, long claimedAtMillis) {
    /** The name of the stream. */
    public static final String STREAM = "epochs";

    /** The version of the record format that this process writes, and the highest that it reads. */
    public static final int VERSION = 1;

    /** Checks that the entry is given. */
    public EpochClaim {
        Objects.requireNonNull(entry, "entry");
    }

    /**
     * Tells whether an incarnation of an entry made this claim.
     *
     * @param id the identifier of the entry, not null
     * @param number the number of the incarnation of the entry
     * @return whether the claim names this entry and this incarnation
     */
    public boolean isBy(String id, long number) {
        return entry.equals(id) && incarnation == number;
    }
}
