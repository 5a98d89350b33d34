package org.fescueloom.daemon.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;

/**
 * Plays the part of {@link AgentRunner} in an {@link UpstreamWalk}: exchanges reports for orders,
 * without a network. Checks to which upstreams the link sends start orders.
 */
final class WalkAgent {
    /** After a report of another writer, the state of an upstream may be unknown for so long. */
    static final long MISLED_MILLIS = 10_000;

    private static final long TRANSIT_MILLIS = 3;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long SEARCH_RETRY_MILLIS = 150;
    private static final int MAX_PENDING_REPORTS = 3;

    private final String name;
    private final ManualScheduler loop;
    private final WalkJudge judge;
    private final WalkMachine machine;
    private final Deque<WalkFault> faults = new ArrayDeque<>();

    /** The boot IDs that have answered a poll of the present process of the agent. */
    private final Set<String> answered = new HashSet<>();

    /** By boot ID, since when the present process has known that the upstream leaves. */
    private final Map<String, Long> knownToLeave = new HashMap<>();

    /** The boot IDs of which another writer has sent a report. */
    private final Set<String> misled = new HashSet<>();

    private Dispatcher dispatcher;
    private UpstreamLink link;
    private int processCount;
    private long sequence;
    private long epoch;
    private int pendingReports;
    private boolean paused;

    WalkAgent(String name, ManualScheduler loop, WalkJudge judge, WalkMachine machine) {
        this.name = name;
        this.loop = loop;
        this.judge = judge;
        this.machine = machine;
    }

    String name() {
        return name;
    }

    /** Starts a process of the agent that knows nothing, in place of the present one. */
    void restart() {
        if (link != null) {
            link.close();
        }
        processCount++;
        answered.clear();
        knownToLeave.clear();
        misled.clear();
        sequence = 0;
        epoch = 0;
        pendingReports = 0;
        int process = processCount;
        link =
                new UpstreamLink(
                        machine,
                        loop,
                        loop::nowMillis,
                        new Metrics(),
                        () -> {
                            if (process == processCount) {
                                exchangeUnlessPaused();
                            }
                        });
        exchangeUnlessPaused();
    }

    void findDispatcher(Dispatcher newDispatcher) {
        dispatcher = newDispatcher;
        exchangeUnlessPaused();
    }

    /** Reports from now on only when told to, or again of its own accord. */
    void setPaused(boolean newPaused) {
        paused = newPaused;
        exchangeUnlessPaused();
    }

    boolean paused() {
        return paused;
    }

    void addFault(WalkFault fault) {
        faults.add(fault);
    }

    void calm() {
        faults.clear();
        setPaused(false);
    }

    String presentBoot() {
        return link.notice() == null ? "" : link.notice().boot();
    }

    void markAnswered(String boot) {
        answered.add(boot);
    }

    /** Hands over a status report of the upstream itself. */
    void onReport(UpstreamNotice report) {
        if (report.state() == UpstreamState.DRAINING) {
            knownToLeave.putIfAbsent(report.boot(), loop.nowMillis());
        }
        link.onReport(report);
    }

    /** Hands over a status report of another writer. */
    void onForeignReport(UpstreamNotice report) {
        misled.add(report.boot());
        link.onReport(report);
    }

    /** Hands over a deregistration. Without a draining report, the next report overcomes it. */
    void onDeregistration(String instance, long bornMillis) {
        link.onDeregistration(instance, bornMillis);
    }

    /** Checks that a start order goes to an upstream that has answered and does not leave. */
    void checkStart(StartOrder order) {
        if (!answered.contains(order.boot())) {
            judge.violate("start on an upstream that nobody has confirmed: " + order.boot());
        }
        Long since = knownToLeave.get(order.boot());
        long allowed = misled.contains(order.boot()) ? MISLED_MILLIS : 0;
        if (since != null && loop.nowMillis() - since > allowed) {
            judge.violate("start on an upstream that leaves: " + order.boot());
        }
    }

    private void exchangeUnlessPaused() {
        if (!paused) {
            exchange();
        }
    }

    /** Reports, and applies the orders in the response. */
    void exchange() {
        if (dispatcher == null || link == null || pendingReports >= MAX_PENDING_REPORTS) {
            return;
        }
        pendingReports++;
        WalkFault fault = faults.isEmpty() ? WalkFault.NONE : faults.remove();
        if (fault.kind() != WalkFault.Kind.NONE) {
            judge.trace(name + " report " + fault);
        }
        UpstreamNotice reported = link.notice();
        long clockAtSend = link.upstreamClockMillis(loop.nowMillis());
        AgentReport report =
                link.report(name, name + '/' + processCount, ++sequence, loop.nowMillis());
        CompletableFuture<AgentOrders> answer = new CompletableFuture<>();
        schedule(TIMEOUT_MILLIS, () -> answer.completeExceptionally(new TimeoutException("late")));
        CompletableFuture<AgentOrders> ignored = new CompletableFuture<>();
        switch (fault.kind()) {
            case REQUEST_LOST -> {}
            case RESPONSE_LOST -> send(report, TRANSIT_MILLIS, ignored, 0);
            case REQUEST_LATE ->
                    send(report, TRANSIT_MILLIS + fault.millis(), answer, TRANSIT_MILLIS);
            case RESPONSE_LATE ->
                    send(report, TRANSIT_MILLIS, answer, TRANSIT_MILLIS + fault.millis());
            case DUPLICATED -> {
                send(report, TRANSIT_MILLIS, answer, TRANSIT_MILLIS);
                send(report, TRANSIT_MILLIS + fault.millis(), ignored, 0);
            }
            default -> send(report, TRANSIT_MILLIS, answer, TRANSIT_MILLIS);
        }
        int process = processCount;
        answer.whenCompleteAsync(
                (orders, error) -> {
                    if (process == processCount) {
                        onResponse(orders, error, reported, clockAtSend);
                    }
                },
                loop);
    }

    private void send(
            AgentReport report,
            long inMillis,
            CompletableFuture<AgentOrders> answer,
            long returnMillis) {
        Dispatcher receiver = dispatcher;
        schedule(
                inMillis,
                () ->
                        receiver.handleReport(report)
                                .whenComplete(
                                        (orders, error) ->
                                                schedule(
                                                        returnMillis,
                                                        () -> finish(answer, orders, error))));
    }

    private static void finish(
            CompletableFuture<AgentOrders> answer, AgentOrders orders, Throwable error) {
        if (error == null) {
            answer.complete(orders);
        } else {
            answer.completeExceptionally(error);
        }
    }

    private void onResponse(
            AgentOrders orders, Throwable error, UpstreamNotice reported, long clockAtSend) {
        pendingReports--;
        if (error != null) {
            schedule(SEARCH_RETRY_MILLIS, this::exchangeUnlessPaused);
            return;
        }
        if (orders.epoch() >= epoch) {
            epoch = orders.epoch();
            link.applyOrders(orders, reported, clockAtSend);
        }
        if (pendingReports == 0) {
            exchangeUnlessPaused();
        }
    }

    private void schedule(long millis, Runnable work) {
        loop.schedule(work, millis, TimeUnit.MILLISECONDS);
    }
}
