package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Records the claim of an entry to be the dispatcher.
 *
 * @param address the address of the entry, not null
 * @param process the process ID of the entry: a random UUID, new with each start of the entry, not
 *     null
 */
record DispatchClaim(String address, String process) {
    /** Checks the values. */
    DispatchClaim {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(process, "process");
    }
}
