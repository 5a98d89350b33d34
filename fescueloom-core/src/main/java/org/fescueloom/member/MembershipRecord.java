package org.fescueloom.member;

import java.util.Comparator;
import java.util.Objects;
import org.fescueloom.wire.MemberKind;

/**
 * Tells one thing about one member; it is spread from member to member.
 *
 * @param id the identifier of the member, not null
 * @param kind the kind of process, not null
 * @param address where it listens, as "address:port", not null
 * @param zone the availability zone, not null
 * @param incarnation grows with each start of the member
 * @param sequence grows with each suspicion that the member refutes
 * @param status what is believed of the member, not null
 */
public record MembershipRecord(
        String id,
        MemberKind kind,
        String address,
        String zone,
        long incarnation,
        int sequence,
        GossipStatus status) {
    private static final Comparator<MembershipRecord> AGE =
            Comparator.comparingLong(MembershipRecord::incarnation)
                    .thenComparingInt(MembershipRecord::sequence)
                    .thenComparing(MembershipRecord::status);

    /** Checks that every name is given. */
    public MembershipRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(status, "status");
    }

    /**
     * Tells whether this is newer than what was known of the member.
     *
     * @param known what was known, null for nothing
     * @return true if this replaces it
     */
    public boolean supersedes(MembershipRecord known) {
        return known == null || AGE.compare(this, known) > 0;
    }

    /**
     * Returns this entry with another status.
     *
     * @param newStatus the status, not null
     * @return the entry, never null
     */
    public MembershipRecord withStatus(GossipStatus newStatus) {
        return new MembershipRecord(id, kind, address, zone, incarnation, sequence, newStatus);
    }

    /**
     * Returns this entry as its member refutes a suspicion.
     *
     * @return the entry, never null
     */
    public MembershipRecord refutation() {
        return new MembershipRecord(
                id, kind, address, zone, incarnation, sequence + 1, GossipStatus.ALIVE);
    }
}
