package org.fescueloom.wire;

import java.util.List;

/**
 * Asks a worker to renew some of its leases.
 *
 * @param leases the identifiers of the leases; null is treated as none
 * @param ttlMillis the time from now after which the leases lapse, in milliseconds
 */
public record LeaseRenewal(List<String> leases, long ttlMillis) {
    /** Copies the identifiers. */
    public LeaseRenewal {
        leases = leases == null ? List.of() : List.copyOf(leases);
    }
}
