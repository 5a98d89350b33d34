package org.fescueloom.wire;

import java.util.Objects;

/**
 * Announces to an entry that a process is alive, and describes the process.
 *
 * @param kind the kind of process, not null
 * @param member the identifier of the process, not null
 * @param incarnation a number that grows with each start of the process
 * @param address the address on which the process listens, as "address:port", not null
 * @param zone the availability zone, not null
 * @param leaving whether the process is leaving and takes no new work
 * @param configVersion the version of the configuration that the process uses; -1 for none
 * @param agent the status of the agent's upstream; null for other kinds and for an agent without an
 *     upstream
 * @param worker the capacity of the worker; null for other kinds
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
    /** Checks that the components that every process has are not null. */
    public Announcement {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
    }
}
