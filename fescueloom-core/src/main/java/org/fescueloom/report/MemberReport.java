package org.fescueloom.report;

import java.util.Objects;
import org.fescueloom.wire.MemberKind;

/**
 * Reports one process that is a member of the system.
 *
 * @param kind the kind of process, not null
 * @param member the identifier of the process, not null
 * @param zone the availability zone, not null
 * @param address the address at which the process listens, as "address:port", not null
 * @param leaving whether the process is leaving and accepts no new work
 * @param configVersion the version of the configuration that is in force in the process; -1 for
 *     none
 * @param ageMillis the time since the last announcement of the process, in milliseconds
 */
public record MemberReport(
        MemberKind kind,
        String member,
        String zone,
        String address,
        boolean leaving,
        long configVersion,
        long ageMillis) {
    /** Checks that the required values are not null. */
    public MemberReport {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(kind, "kind");
    }
}
