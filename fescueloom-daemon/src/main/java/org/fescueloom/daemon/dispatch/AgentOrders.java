package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Tells an agent what is to be.
 *
 * @param epoch the epoch of the dispatcher
 * @param leaseMillis how long the upstream's runs may live, counted from when the report was sent;
 *     0 grants nothing
 * @param boot the life of the upstream that the orders are for; empty if none is known
 * @param acknowledged ends up to this number are stored
 * @param starts the runs that should exist and were not seen, not null
 * @param stops the runs that must end, not null
 * @param entries the addresses of the entries, not null
 */
public record AgentOrders(
        long epoch,
        long leaseMillis,
        String boot,
        long acknowledged,
        List<StartOrder> starts,
        List<StopOrder> stops,
        List<String> entries) {
    /** Copies the lists. */
    public AgentOrders {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
        entries = List.copyOf(entries);
    }
}
