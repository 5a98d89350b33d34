package org.fescueloom.daemon.dispatch;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.fescueloom.work.TaskKey;

/**
 * Holds the orders of the dispatcher to an agent. A message carries the payload of each job once,
 * however many of its tasks start.
 *
 * @param epoch the epoch of the dispatcher
 * @param leaseMillis the duration of the lease of the upstream's runs, counted from when the report
 *     was sent; 0 if no lease is granted
 * @param boot the boot ID of the upstream that the orders address; empty if unknown
 * @param acknowledged the number up to which all ends of runs are stored
 * @param starts assigned runs that the upstream has not listed, to be started, not null
 * @param stops runs to be stopped, not null
 * @param complete whether {@code starts} and {@code stops} are all orders that stand; otherwise
 *     further ones follow with the next responses
 * @param entries the addresses of the entries, not null
 */
public record AgentOrders(
        long epoch,
        long leaseMillis,
        String boot,
        long acknowledged,
        List<StartOrder> starts,
        List<StopOrder> stops,
        boolean complete,
        List<String> entries) {
    /** Copies the lists. */
    public AgentOrders {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
        entries = List.copyOf(entries);
    }

    /** A start order in a message; the payload is null if it is among those of the jobs. */
    private record StartEntry(
            String task, int run, String boot, String payload, String checkpoint) {}

    /** The form of the orders in a message; older messages lack {@code payloads}. */
    private record Message(
            long epoch,
            long leaseMillis,
            String boot,
            long acknowledged,
            List<StartEntry> starts,
            Map<String, String> payloads,
            List<StopOrder> stops,
            Boolean complete,
            List<String> entries) {}

    /** Returns the form of the orders in a message. */
    @JsonValue
    Object message() {
        Map<String, String> payloads = new HashMap<>();
        List<StartEntry> entriesOfStarts = new ArrayList<>();
        for (StartOrder start : starts) {
            payloads.put(TaskKey.jobOf(start.task()), start.payload());
            entriesOfStarts.add(
                    new StartEntry(
                            start.task(), start.run(), start.boot(), null, start.checkpoint()));
        }
        return new Message(
                epoch,
                leaseMillis,
                boot,
                acknowledged,
                entriesOfStarts,
                payloads,
                stops,
                complete,
                entries);
    }

    /** Reads the orders from a message. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static AgentOrders of(Message message) {
        Map<String, String> payloads = Objects.requireNonNullElse(message.payloads(), Map.of());
        List<StartOrder> starts = new ArrayList<>();
        for (StartEntry start : message.starts()) {
            String payload =
                    start.payload() == null
                            ? payloads.get(TaskKey.jobOf(start.task()))
                            : start.payload();
            starts.add(
                    new StartOrder(
                            start.task(), start.run(), start.boot(), payload, start.checkpoint()));
        }
        return new AgentOrders(
                message.epoch(),
                message.leaseMillis(),
                message.boot(),
                message.acknowledged(),
                starts,
                message.stops(),
                Objects.requireNonNullElse(message.complete(), true),
                message.entries());
    }
}
