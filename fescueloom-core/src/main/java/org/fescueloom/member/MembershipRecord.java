package org.fescueloom.member;

import java.util.Comparator;
import java.util.Objects;
import org.fescueloom.wire.MemberKind;

/**
 * Holds what is known about one member. Members send these records to each other.
 *
 * @param id the identifier of the member, not null
 * @param kind the kind of process, not null
 * @param address the address on which the member listens, as "address:port", not null
 * @param zone the availability zone, not null
 * @param incarnation a number that grows with each start of the member
 * @param sequence a number that grows with each suspicion that the member refutes
 * @param status the status of the member, not null
 */
public record MembershipRecord(
        String id,
        MemberKind kind,
        String address,
        String zone,
        long incarnation,
        int sequence,
        GossipStatus status) {
    private static final Comparator<MembershipRecord> BY_RECENCY =
            Comparator.comparingLong(MembershipRecord::incarnation)
                    .thenComparingInt(MembershipRecord::sequence)
                    .thenComparing(MembershipRecord::status);

    /** Checks that no component is null. */
    public MembershipRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(status, "status");
    }

    /**
     * Tests whether this record is newer than a known record of the same member.
     *
     * @param known the known record; null if there is none
     * @return true if this record replaces the known one
     */
    public boolean supersedes(MembershipRecord known) {
        return known == null || BY_RECENCY.compare(this, known) > 0;
    }

    /**
     * Returns a copy of this record with another status.
     *
     * @param newStatus the status, not null
     * @return the record, never null
     */
    public MembershipRecord withStatus(GossipStatus newStatus) {
        return new MembershipRecord(id, kind, address, zone, incarnation, sequence, newStatus);
    }

    /**
     * Returns the record with which the member refutes a suspicion against it: alive, with the next
     * sequence number.
     *
     * @return the record, never null
     */
    public MembershipRecord refutation() {
        return new MembershipRecord(
                id, kind, address, zone, incarnation, sequence + 1, GossipStatus.ALIVE);
    }
}
