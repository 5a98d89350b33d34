package org.fescueloom.daemon.settings;

import java.util.List;
import java.util.Objects;
import org.fescueloom.wire.SocketAddresses;

/**
 * Holds the settings of one daemon.
 *
 * @param role the role of the daemon, not null
 * @param member the identifier of the daemon, not null
 * @param zone the availability zone of the daemon, not null
 * @param listen the address to listen on, as "address:port"; with port 0 the operating system
 *     chooses a free port, not null
 * @param advertise the address at which other processes reach the daemon, as "address:port"; null
 *     if it is the listen address
 * @param entries the addresses of the entries to which the daemon first announces itself, as
 *     "address:port"; null counts as an empty list
 * @param logService the addresses of the log service, as "address:port"; null counts as an empty
 *     list
 * @param logLevel the lowest level of the events that are logged; null counts as info
 * @param limits the upper bounds on the input that the daemon accepts; null counts as {@link
 *     Limits#DEFAULT}
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
    /** Checks the required settings and sets defaults for the optional ones. */
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
     * Returns the IP address to listen on.
     *
     * @return the part of the listen address before the port, never null
     */
    public String listenHost() {
        return SocketAddresses.host(listen);
    }

    /**
     * Returns the port to listen on.
     *
     * @return the part of the listen address after the last colon; 0 if the operating system
     *     chooses a free port
     */
    public int listenPort() {
        return SocketAddresses.port(listen);
    }
}
