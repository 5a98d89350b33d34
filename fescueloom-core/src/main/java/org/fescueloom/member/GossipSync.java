package org.fescueloom.member;

import java.util.List;

/**
 * Carries a table comparison between two members: the digests of all parts of the table, and the
 * records in the parts that differ.
 *
 * @param digests the digest of each part of the sender's table; null is treated as none
 * @param entries the records that the sender passes on: at the start of a comparison only its own
 *     record, then its records in the parts that differ; null is treated as none
 */
public record GossipSync(List<Long> digests, List<MembershipRecord> entries) {
    /** Copies the lists. */
    public GossipSync {
        digests = digests == null ? List.of() : List.copyOf(digests);
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
