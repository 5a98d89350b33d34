package org.fescueloom.daemon.settings;

import java.util.List;
import java.util.Objects;
import org.fescueloom.wire.SocketAddresses;

/**
 * Holds the settings of one daemon.
 *
 * @param role the role, not null
 * @param member the identifier of the process, not null
 * @param zone the availability zone, not null
 * @param listen where to listen, as "address:port" with port 0 for any free one, not null
 * @param advertise where others reach the process, as "address:port"; null for where it listens
 * @param entries the entries to announce to first, as "address:port"; null counts as none
 * @param logService the addresses of the log service, as "address:port"; null counts as none
 * @param logLevel the least level of events to log; null counts as info
 * @param limits the bounds of what the daemon takes on; null counts as the default
 */
public record Settings(
        Role role,
        String member,
        String zone,
        String listen,
        String advertise,
        List<String> entries,
        List<String> logService,
        LogLevel logLevel,
        Limits limits) {
    /** Checks the required settings and fills in what may be left out. */
    public Settings {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(listen, "listen");
        entries = entries == null ? List.of() : List.copyOf(entries);
        logService = logService == null ? List.of() : List.copyOf(logService);
        logLevel = logLevel == null ? LogLevel.INFO : logLevel;
        limits = limits == null ? Limits.DEFAULT : limits;
    }

    /**
     * Returns the IP number to listen on.
     *
     * @return the part of the listen address before the port
     */
    public String listenHost() {
        return SocketAddresses.host(listen);
    }

    /**
     * Returns the port to listen on.
     *
     * @return the part of the listen address after the colon; 0 for any free one
     */
    public int listenPort() {
        return SocketAddresses.port(listen);
    }
}
