package org.fescueloom.daemon.jobs;

import java.util.List;

/**
 * Holds the response of a worker to a lease renewal.
 *
 * @param renewed the identifiers of the leases that the worker renewed; null counts as empty
 * @param unknown the identifiers of the leases that the worker does not hold; null counts as empty
 */
public record RenewalResult(List<String> renewed, List<String> unknown) {
    /** Copies the lists. */
    public RenewalResult {
        renewed = renewed == null ? List.of() : List.copyOf(renewed);
        unknown = unknown == null ? List.of() : List.copyOf(unknown);
    }
}
