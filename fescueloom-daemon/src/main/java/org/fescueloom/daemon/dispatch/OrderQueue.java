package org.fescueloom.daemon.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Limits the calls to an upstream by which runs are started and stopped. Each start carries the
 * payload of its job, so the memory that calls take is limited with them. Stops go before starts.
 * Confined to the event loop of its owner.
 */
final class OrderQueue {
    /** The maximum number of calls in progress. */
    static final int MAX_CALLS = 16;

    private final Executor loop;
    private final Map<String, Order> waitingStops = new LinkedHashMap<>();
    private final Map<String, Order> waitingStarts = new LinkedHashMap<>();
    private final Set<String> stopsInProgress = new HashSet<>();
    private final Set<String> startsInProgress = new HashSet<>();

    /** Grows with each {@link #reset}; results of earlier calls are ignored. */
    private long resetCount;

    /**
     * Holds an order that is not sent yet.
     *
     * @param call sends the order
     * @param onResult handles the result, or the error if there is none
     */
    private record Order(
            Supplier<CompletableFuture<OrderResult>> call,
            BiConsumer<OrderResult, Throwable> onResult) {}

    /** Creates an empty queue; results are handled on an event loop. */
    OrderQueue(Executor loop) {
        this.loop = loop;
    }

    /** Adds the start of a run, unless one waits or is in progress. */
    void addStart(
            String runId,
            Supplier<CompletableFuture<OrderResult>> call,
            BiConsumer<OrderResult, Throwable> onResult) {
        if (!startsInProgress.contains(runId)) {
            waitingStarts.putIfAbsent(runId, new Order(call, onResult));
            sendNext();
        }
    }

    /** Adds the stop of a run, unless one waits or is in progress; a waiting start is removed. */
    void addStop(
            String runId,
            Supplier<CompletableFuture<OrderResult>> call,
            BiConsumer<OrderResult, Throwable> onResult) {
        waitingStarts.remove(runId);
        if (!stopsInProgress.contains(runId)) {
            waitingStops.putIfAbsent(runId, new Order(call, onResult));
            sendNext();
        }
    }

    /** Removes the waiting starts of all runs but the given ones. */
    void retainWaitingStarts(Set<String> runIds) {
        waitingStarts.keySet().retainAll(runIds);
    }

    /** Tests whether a start waits. */
    boolean startsWait() {
        return !waitingStarts.isEmpty();
    }

    /** Removes all orders, and ignores the results of the calls in progress. */
    void reset() {
        resetCount++;
        waitingStops.clear();
        waitingStarts.clear();
        stopsInProgress.clear();
        startsInProgress.clear();
    }

    private void sendNext() {
        while (stopsInProgress.size() + startsInProgress.size() < MAX_CALLS) {
            if (!waitingStops.isEmpty()) {
                sendFirst(waitingStops, stopsInProgress);
            } else if (!waitingStarts.isEmpty()) {
                sendFirst(waitingStarts, startsInProgress);
            } else {
                return;
            }
        }
    }

    private void sendFirst(Map<String, Order> waiting, Set<String> inProgress) {
        String runId = waiting.keySet().iterator().next();
        Order order = waiting.remove(runId);
        inProgress.add(runId);
        long countAtCall = resetCount;
        order.call()
                .get()
                .whenCompleteAsync(
                        (result, error) -> {
                            if (countAtCall == resetCount) {
                                inProgress.remove(runId);
                                order.onResult().accept(result, error);
                                sendNext();
                            }
                        },
                        loop);
    }
}
