package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Holds the orders of the dispatcher to an agent.
 *
 * @param epoch the epoch of the dispatcher
 * @param leaseMillis the duration of the lease of the upstream's runs, counted from when the report
 *     was sent; 0 if no lease is granted
 * @param boot the boot ID of the upstream that the orders address; empty if unknown
 * @param acknowledged the number up to which all ends of runs are stored
 * @param starts the assigned runs that the upstream has not listed, to be started, not null
 * @param stops the runs to be stopped, not null
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
