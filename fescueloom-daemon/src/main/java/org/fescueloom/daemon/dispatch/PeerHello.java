package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.Objects;

/**
 * Describes the dispatcher and the entries as one entry knows them. Entries exchange it as a hello
 * message; agents receive it when they search for the dispatcher.
 *
 * @param address the address of the sender, as "host:port", not null
 * @param epoch the highest epoch that the sender knows; 0 if none
 * @param dispatcher the address of the dispatcher of that epoch; empty if there is none now
 * @param heardMillis how long ago the sender heard from the dispatcher, in milliseconds
 * @param storeFailingMillis for how long the appends of the dispatcher have failed, in
 *     milliseconds; meaningful only if the sender is the dispatcher
 * @param fleetOffset the end offset of the operator log as the sender has read it; see {@link
 *     FleetSnapshot}
 * @param fleetAgeMillis the time since the sender last confirmed {@code fleetOffset}, in
 *     milliseconds; {@link #UNKNOWN_AGE_MILLIS} if unknown
 * @param logServes whether the sender can reach the log service
 * @param leaving whether the sender is shutting down
 * @param cores the processor time of the sender's machine, in cores; 0 if unknown, also if null, as
 *     in messages of earlier versions
 * @param entries the addresses of the entries that the sender knows, not null
 */
public record PeerHello(
        String address,
        long epoch,
        String dispatcher,
        long heardMillis,
        long storeFailingMillis,
        long fleetOffset,
        long fleetAgeMillis,
        boolean logServes,
        boolean leaving,
        Double cores,
        List<String> entries) {
    /** Stands for an unknown age; can be subtracted from any clock reading without overflow. */
    static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 4;

    /** Checks the values. */
    public PeerHello {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(dispatcher, "dispatcher");
        FleetSnapshot.requireOffset(epoch);
        FleetSnapshot.requireOffset(fleetOffset);
        cores = Objects.requireNonNullElse(cores, 0.0);
        entries = List.copyOf(entries);
    }
}
