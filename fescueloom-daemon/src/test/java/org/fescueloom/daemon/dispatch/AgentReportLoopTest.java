package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that an agent goes on to report when the dispatcher changes. */
class AgentReportLoopTest {
    private static final long WAIT_SECONDS = 20;

    private final HttpServer earlier = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final HttpServer later = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final ScheduledExecutorService loop = Timers.singleThread("agent");
    private final AtomicInteger hangingReports = new AtomicInteger();
    private final AtomicInteger laterReports = new AtomicInteger();
    private volatile String dispatcher;
    private volatile boolean earlierHangs;
    private AgentRunner agent;

    private static String address(HttpServer server) {
        return "127.0.0.1:" + server.port();
    }

    private static CompletableFuture<HttpServerResponse> orders(AgentReport report) {
        String boot = report.notice() == null ? "" : report.notice().boot();
        return CompletableFuture.completedFuture(
                HttpServerResponse.json(
                        new AgentOrders(1, 7_000, boot, 0, List.of(), List.of(), true, List.of())));
    }

    private static UpstreamNotice notice(UpstreamState state, long sequence) {
        return new UpstreamNotice(
                "i-1",
                1,
                "service",
                "zone",
                state,
                new Resources(8_000, 1_000, 8),
                List.of(),
                "",
                60_000,
                sequence);
    }

    private CompletableFuture<HttpServerResponse> hello() {
        return CompletableFuture.completedFuture(
                HttpServerResponse.json(
                        new PeerHello(
                                dispatcher,
                                1,
                                dispatcher,
                                0,
                                0,
                                0,
                                0,
                                true,
                                false,
                                0.0,
                                List.of())));
    }

    @BeforeEach
    void start() {
        earlier.route("GET", "/agent/dispatcher", call -> hello());
        earlier.route(
                "POST",
                "/agent/report",
                call -> {
                    if (earlierHangs) {
                        hangingReports.incrementAndGet();
                        return new CompletableFuture<>();
                    }
                    return orders(call.read(AgentReport.class));
                });
        later.route(
                "POST",
                "/agent/report",
                call -> {
                    laterReports.incrementAndGet();
                    return orders(call.read(AgentReport.class));
                });
        earlier.start();
        later.start();
        dispatcher = address(earlier);
        agent =
                new AgentRunner(
                        "a",
                        List.of(address(earlier)),
                        new InMemoryUpstream("i-1", 60_000),
                        loop,
                        new Metrics());
        agent.onNotice(notice(UpstreamState.READY, 1));
        agent.start();
    }

    @AfterEach
    void stop() {
        agent.close();
        loop.shutdownNow();
        earlier.close();
        later.close();
    }

    @Nested
    class AReportToTheEarlierDispatcher {
        // Guards against runs that lapse after a takeover: a report to the dispatcher before was
        // still awaited when the new one answered, and its failure ended the reports.
        @Test
        void doesNotEndTheReportsWhenItFails() throws InterruptedException {
            Thread.sleep(200);
            earlierHangs = true;
            dispatcher = address(later);
            Polling.await(() -> hangingReports.get() > 0, WAIT_SECONDS);
            Thread.sleep(1_200);
            // A change makes the agent report again while the first report is awaited.
            agent.onNotice(notice(UpstreamState.DRAINING, 2));
            Polling.await(() -> laterReports.get() > 0, WAIT_SECONDS);

            int reports = laterReports.get();
            Polling.await(() -> laterReports.get() > reports + 20, WAIT_SECONDS);
        }
    }
}
