package org.fescueloom.daemon.jobs;

import java.util.List;

/**
 * Holds a worker's answer to a renewal.
 *
 * @param renewed the leases that were renewed; null counts as none
 * @param unknown the leases that the worker does not hold; null counts as none
 */
public record RenewalResult(List<String> renewed, List<String> unknown) {
    /** Copies the lists. */
    public RenewalResult {
        renewed = renewed == null ? List.of() : List.copyOf(renewed);
        unknown = unknown == null ? List.of() : List.copyOf(unknown);
    }
}
