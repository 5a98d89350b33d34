package org.fescueloom.report;

import java.util.Objects;
import org.fescueloom.wire.MemberKind;

/**
 * Reports one process of the system.
 *
 * @param kind the kind, not null
 * @param member the identifier, not null
 * @param zone the availability zone, not null
 * @param address where it listens, as "address:port", not null
 * @param leaving whether it takes no new work
 * @param configVersion the version of the configuration in force there; -1 for none
 * @param ageMillis the time since its last announcement, in milliseconds
 */
public record MemberReport(
        MemberKind kind,
        String member,
        String zone,
        String address,
        boolean leaving,
        long configVersion,
        long ageMillis) {
    /** Checks what is required and copies the collections. */
    public MemberReport {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(kind, "kind");
    }
}
