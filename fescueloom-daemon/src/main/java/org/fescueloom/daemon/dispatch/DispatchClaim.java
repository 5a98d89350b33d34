package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Is the record by which an entry becomes the dispatcher.
 *
 * @param address where it is reached, not null
 * @param process names this life of the entry, not null
 */
record DispatchClaim(String address, String process) {
    /** Checks the values. */
    DispatchClaim {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(process, "process");
    }
}
