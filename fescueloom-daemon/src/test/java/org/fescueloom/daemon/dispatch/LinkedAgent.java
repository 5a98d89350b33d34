package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;

/** Connects an upstream in memory to the dispatcher, as the process of an agent does. */
final class LinkedAgent {
    private static final int MAX_PENDING_REPORTS = 3;
    private static final long RESPONSE_MILLIS = 5;
    private static final long SEARCH_RETRY_MILLIS = 150;
    private static final Resources CAPACITY = new Resources(1L << 40, 1L << 40, 1L << 30);

    private final String name;
    private final ManualScheduler loop;
    private final Supplier<Dispatcher> dispatcher;
    private final UpstreamLink link;
    private final String process = UUID.randomUUID().toString();
    private long sequence;
    private int pendingReports;
    private boolean closed;

    /**
     * Creates an agent that is not started.
     *
     * @param dispatcher returns the dispatcher, or null while there is none
     */
    LinkedAgent(
            String name,
            UpstreamControl upstream,
            ManualScheduler loop,
            Supplier<Dispatcher> dispatcher) {
        this.name = name;
        this.loop = loop;
        this.dispatcher = dispatcher;
        link = new UpstreamLink(upstream, loop, loop::nowMillis, new Metrics(), this::report);
    }

    /** Reports, and receives the status report of an upstream that started at the time 1. */
    void start(String instance) {
        report();
        link.onReport(
                new UpstreamNotice(
                        instance,
                        1,
                        "service",
                        "zone",
                        UpstreamState.READY,
                        CAPACITY,
                        List.of("a", "r1"),
                        "r1",
                        0,
                        1));
    }

    /** Ends the process. */
    void close() {
        closed = true;
        link.close();
    }

    UpstreamLink link() {
        return link;
    }

    /** Sends a report; its response arrives {@value #RESPONSE_MILLIS} ms after it was written. */
    void report() {
        if (closed || pendingReports >= MAX_PENDING_REPORTS) {
            return;
        }
        Dispatcher receiver = dispatcher.get();
        if (receiver == null) {
            loop.schedule(this::report, SEARCH_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        pendingReports++;
        UpstreamNotice reported = link.notice();
        long clock = link.upstreamClockMillis(loop.nowMillis());
        AgentReport report = link.report(name, process, ++sequence, loop.nowMillis());
        receiver.handleReport(report)
                .whenComplete(
                        (orders, error) ->
                                loop.schedule(
                                        () -> onResponse(orders, reported, clock),
                                        RESPONSE_MILLIS,
                                        TimeUnit.MILLISECONDS));
    }

    private void onResponse(AgentOrders orders, UpstreamNotice reported, long clock) {
        pendingReports--;
        if (closed) {
            return;
        }
        if (orders != null && orders.epoch() >= link.epoch()) {
            link.applyOrders(orders, reported, clock);
        }
        if (pendingReports == 0) {
            report();
        }
    }
}
