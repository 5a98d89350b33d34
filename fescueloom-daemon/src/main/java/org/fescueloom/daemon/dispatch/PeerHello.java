package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.Objects;

/**
 * Tells another entry what an entry knows of who dispatches.
 *
 * @param address where the sender is reached, as "address:port", not null
 * @param epoch the highest epoch that it knows; 0 if none
 * @param dispatcher the address of the dispatcher of that epoch; empty if there is none now
 * @param heardMillis how long ago the sender heard from the dispatcher, in milliseconds
 * @param storeFailingMillis for how long the log service has failed the dispatcher, in
 *     milliseconds; of no meaning unless the sender dispatches
 * @param fleetOffset where the log of the operators ended for the sender; see {@link FleetSnapshot}
 * @param fleetAgeMillis how long ago that was so, in milliseconds; {@link #UNKNOWN_AGE_MILLIS} if
 *     that is not known
 * @param logServes whether the log service serves the sender now
 * @param leaving whether the sender shuts down
 * @param entries the entries that it knows, not null
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
        List<String> entries) {
    /** Stands for an age that is not known; small enough to be taken from any moment. */
    static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 4;

    /** Checks the values. */
    public PeerHello {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(dispatcher, "dispatcher");
        FleetSnapshot.requireOffset(epoch);
        FleetSnapshot.requireOffset(fleetOffset);
        entries = List.copyOf(entries);
    }
}
