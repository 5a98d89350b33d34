package org.fescueloom.wire;

import java.util.Objects;

/**
 * Tells an entry that a process is alive, and what it offers.
 *
 * @param kind the kind of process, not null
 * @param member the identifier of the process, not null
 * @param incarnation grows with each start of the process
 * @param address where the process listens, as "address:port", not null
 * @param zone the availability zone, not null
 * @param leaving whether the process takes no new work
 * @param configVersion the version of the configuration that is in force in the process; -1 for
 *     none
 * @param agent what an agent's upstream can take; null for other kinds and without an upstream
 * @param worker what a worker has; null for other kinds
 */
public record Announcement(
        MemberKind kind,
        String member,
        long incarnation,
        String address,
        String zone,
        boolean leaving,
        long configVersion,
        AgentStatus agent,
        WorkerCapacity worker) {
    /** Checks that what every process has is given. */
    public Announcement {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
    }
}
