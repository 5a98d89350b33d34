package org.fescueloom.member;

import java.util.List;

/**
 * Compares the tables of two members part by part and carries the parts that differ.
 *
 * @param digests the digest of each part of the sender's table; null counts as none
 * @param entries the sender's entries in the parts that differ; null counts as none
 */
public record GossipSync(List<Long> digests, List<MembershipRecord> entries) {
    /** Copies the lists. */
    public GossipSync {
        digests = digests == null ? List.of() : List.copyOf(digests);
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
