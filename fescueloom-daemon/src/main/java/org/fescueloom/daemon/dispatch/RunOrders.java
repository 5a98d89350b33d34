package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;

/**
 * Sends the orders of the dispatcher to the upstream of an agent, each once at a time. Confined to
 * the event loop of the agent.
 */
final class RunOrders {
    /**
     * While start orders wait, the dispatcher is informed each time that this many runs have
     * started: a report lists all runs.
     */
    private static final int STARTS_PER_REPORT = 200;

    private final UpstreamLink link;
    private final UpstreamControl upstream;
    private final Metrics metrics;

    /** The stopped runs of which no poll has shown yet whether they exist, by run identifier. */
    private final Map<String, StoppedRun> stoppedRuns = new HashMap<>();

    private final Map<String, StopOrder> barredRuns = new HashMap<>();
    private final OrderQueue queue;
    private int unreportedStarts;
    private boolean pollPending;

    /**
     * Holds the stop order of a run.
     *
     * @param order the order
     * @param lastPoll the number of the last poll that was sent before the upstream had executed
     *     the order
     */
    private record StoppedRun(StopOrder order, long lastPoll) {}

    RunOrders(UpstreamLink link, UpstreamControl upstream, Executor loop, Metrics metrics) {
        this.link = link;
        this.upstream = upstream;
        this.metrics = metrics;
        queue = new OrderQueue(loop);
    }

    /** Forgets all orders, because the incarnation to which they were sent has ended. */
    void reset() {
        stoppedRuns.clear();
        barredRuns.clear();
        queue.reset();
        unreportedStarts = 0;
        pollPending = false;
    }

    /** Returns the runs that do not exist and that the upstream refuses to start. */
    List<StopOrder> barredRuns() {
        return List.copyOf(barredRuns.values());
    }

    /** Removes the start orders that wait, because another dispatcher decides which ones stand. */
    void removeWaitingStarts() {
        queue.retainWaitingStarts(Set.of());
    }

    /**
     * Removes the stopped runs and the waiting start orders for which the dispatcher sends no
     * orders any more. Has no effect unless the orders are complete.
     */
    void removeUnorderedRuns(AgentOrders orders) {
        if (!orders.complete()) {
            return;
        }
        Set<String> orderedRuns = new HashSet<>();
        orders.starts().forEach(s -> orderedRuns.add(RunLists.runId(s.task(), s.run())));
        orders.stops().forEach(s -> orderedRuns.add(RunLists.runId(s.task(), s.run())));
        stoppedRuns.keySet().retainAll(orderedRuns);
        barredRuns.keySet().retainAll(orderedRuns);
        queue.retainWaitingStarts(orderedRuns);
    }

    /** Sends a start order, unless it is obsolete or its result is awaited. */
    void startRun(StartOrder order, long leaseUntilMillis) {
        String runId = RunLists.runId(order.task(), order.run());
        if (!link.isPresent(order.boot()) || stopped(runId)) {
            return;
        }
        // An order that has waited must not get a later token or lease than the dispatcher granted.
        String instance = link.notice().instance();
        long token = link.token();
        queue.addStart(
                runId,
                () -> upstream.start(instance, order, token, leaseUntilMillis),
                (result, error) -> {
                    onStartResult(order, result, error);
                    reportStarts();
                });
    }

    private void onStartResult(StartOrder order, OrderResult result, Throwable error) {
        logOrder("run-start", order.task(), order.run(), order.boot(), result, error);
        metrics.count("agent.starts." + (result == null ? "unanswered" : result));
        if (result == null) {
            return;
        }
        switch (result) {
            case DONE -> {
                link.addRunning(order);
                unreportedStarts++;
            }
            // The run will not start. A stop makes the upstream bar the run, so that the dispatcher
            // can end the run.
            case NO_ROOM, NO_TICKET, INVALID, SUPERSEDED ->
                    stopRun(new StopOrder(order.task(), order.run(), order.boot()));
            case FENCED, LATE, BUSY, OTHER_BOOT -> {
                // The dispatcher repeats the order, with a newer lease, until the order is
                // obsolete.
            }
            default ->
                    throw new IllegalStateException(
                            "result of the start order for run "
                                    + RunLists.runId(order.task(), order.run())
                                    + " is not handled: "
                                    + result);
        }
    }

    /** Informs the dispatcher of started runs, unless more starts follow at once. */
    private void reportStarts() {
        boolean lastOfSeveral = unreportedStarts > 0 && !queue.startsWait();
        if (lastOfSeveral || unreportedStarts >= STARTS_PER_REPORT) {
            unreportedStarts = 0;
            link.reportChange();
        }
    }

    private void logOrder(
            String event, String task, int run, String boot, OrderResult result, Throwable error) {
        EventLog.event(event)
                .field("task", task)
                .field("run", run)
                .field("boot", boot)
                .field("epoch", link.epoch())
                .field("answer", result == null ? Failures.causeOf(error) : result)
                .info();
    }

    /** Sends a stop order, unless it is obsolete or its result is awaited. */
    void stopRun(StopOrder order) {
        String runId = RunLists.runId(order.task(), order.run());
        if (!link.isPresent(order.boot()) || stopped(runId)) {
            return;
        }
        String instance = link.notice().instance();
        long token = link.token();
        queue.addStop(
                runId,
                () -> upstream.stop(instance, order, token),
                (result, error) -> onStopResult(order, result, error));
    }

    private void onStopResult(StopOrder order, OrderResult result, Throwable error) {
        logOrder("run-stop", order.task(), order.run(), order.boot(), result, error);
        if (result == OrderResult.DONE) {
            stoppedRuns.put(
                    RunLists.runId(order.task(), order.run()),
                    new StoppedRun(order, link.pollCount()));
            pollForStoppedRuns();
        }
    }

    private boolean stopped(String runId) {
        return stoppedRuns.containsKey(runId) || barredRuns.containsKey(runId);
    }

    /** Polls until each stopped run could be listed by a poll that was sent after its stop. */
    private void pollForStoppedRuns() {
        if (pollPending) {
            return;
        }
        pollPending = true;
        link.pollOnce(
                Duration.ZERO,
                () -> {
                    pollPending = false;
                    long lastPoll = link.pollCount();
                    if (stoppedRuns.values().stream().anyMatch(s -> s.lastPoll() == lastPoll)) {
                        pollForStoppedRuns();
                    }
                },
                // The next of the repeated polls shows the runs.
                () -> pollPending = false);
    }

    /**
     * Handles the answer to a poll: bars the runs that were stopped before the poll was sent and
     * that do not exist. Such a run is listed neither as running nor as ended, and the upstream
     * refuses to start it because it was stopped. While not all ends are listed, a run that is not
     * listed may have ended. The next report informs the dispatcher, which then ends the run.
     *
     * @param poll the number of the poll
     * @param allEndsListed whether the answer lists all ends that are not acknowledged
     */
    void onSnapshot(long poll, boolean allEndsListed) {
        if (stoppedRuns.isEmpty()) {
            return;
        }
        Set<String> listedRuns = link.listedRunIds();
        int barredBefore = barredRuns.size();
        stoppedRuns
                .entrySet()
                .removeIf(
                        stopped -> {
                            boolean listed = listedRuns.contains(stopped.getKey());
                            boolean absent = !listed && allEndsListed;
                            boolean proven = stopped.getValue().lastPoll() < poll;
                            if (absent && proven) {
                                barredRuns.put(stopped.getKey(), stopped.getValue().order());
                            }
                            return proven && (listed || absent);
                        });
        if (barredRuns.size() > barredBefore) {
            link.reportChange();
        }
    }
}
