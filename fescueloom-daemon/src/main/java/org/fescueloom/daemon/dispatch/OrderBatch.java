package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescueloom.json.Json;
import org.fescueloom.work.TaskKey;

/**
 * Collects the orders of one response, as many as fit into its maximum length. What does not fit
 * follows with the next response.
 */
final class OrderBatch {
    /**
     * The maximum length of the orders in a response, in bytes. All agents together may receive
     * orders at once, and an entry has 16 MiB for what its connections send and receive.
     */
    static final int MAX_BYTES = 64 << 10;

    /** The length of an order beside its values, in bytes: names, quotation marks, run number. */
    private static final int ORDER_OVERHEAD_BYTES = 80;

    private final List<StartOrder> starts = new ArrayList<>();
    private final List<StopOrder> stops = new ArrayList<>();
    private final Set<String> jobsWithPayload = new HashSet<>();
    private int bytes;
    private boolean complete = true;

    /** Adds a start order, and returns whether it fits. The first order of a batch always fits. */
    boolean add(StartOrder start) {
        String job = TaskKey.jobOf(start.task());
        int length =
                ORDER_OVERHEAD_BYTES
                        + start.task().length()
                        + jsonBytes(start.boot())
                        + jsonBytes(start.checkpoint());
        if (!jobsWithPayload.contains(job)) {
            length += job.length() + jsonBytes(start.payload());
        }
        if (!reserve(length)) {
            return false;
        }
        jobsWithPayload.add(job);
        starts.add(start);
        return true;
    }

    /** Adds a stop order, and returns whether it fits. The first order of a batch always fits. */
    boolean add(StopOrder stop) {
        int length = ORDER_OVERHEAD_BYTES + stop.task().length() + jsonBytes(stop.boot());
        if (!reserve(length)) {
            return false;
        }
        stops.add(stop);
        return true;
    }

    private boolean reserve(int length) {
        boolean empty = starts.isEmpty() && stops.isEmpty();
        if (!empty && bytes + length > MAX_BYTES) {
            complete = false;
            return false;
        }
        bytes += length;
        return true;
    }

    private static int jsonBytes(String text) {
        return text.isEmpty() ? 0 : Json.write(text).length;
    }

    List<StartOrder> starts() {
        return starts;
    }

    List<StopOrder> stops() {
        return stops;
    }

    /** Tests whether all orders have fitted. */
    boolean complete() {
        return complete;
    }
}
