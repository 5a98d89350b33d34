package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.fescueloom.work.RunEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which ends an agent acknowledges to an upstream that has started again. */
class AcknowledgementAfterRestartTest {
    private static final long WAIT_SECONDS = 20;
    private static final String TASK = "00000000000000aa.0.0.0";
    private static final long FIRST_BORN_MILLIS = 1_780_000_000_000L;
    private static final long SECOND_BORN_MILLIS = FIRST_BORN_MILLIS + 700;
    private static final long ACKNOWLEDGED = 5;
    private static final long RUN_MILLIS = 1_000;

    private final HttpServer entry = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final ScheduledExecutorService loop = Timers.singleThread("agent");
    private final InMemoryUpstream upstream = new InMemoryUpstream("i-1", RUN_MILLIS);
    private AgentRunner agent;
    private volatile AgentReport lastReport;

    private String address() {
        return "127.0.0.1:" + entry.port();
    }

    /** Orders run 1 of the task, and acknowledges ends, of the first incarnation only. */
    private AgentOrders ordersFor(AgentReport report) {
        String firstBoot = "i-1@" + FIRST_BORN_MILLIS;
        String boot = report.notice() == null ? "" : report.notice().boot();
        StartOrder order = new StartOrder(TASK, 1, firstBoot, "payload", "");
        long acknowledged = boot.equals(firstBoot) ? ACKNOWLEDGED : 0;
        return new AgentOrders(
                1, 7_000, boot, acknowledged, List.of(order), List.of(), true, List.of());
    }

    @BeforeEach
    void start() {
        entry.route(
                "GET",
                "/agent/dispatcher",
                call ->
                        CompletableFuture.completedFuture(
                                HttpServerResponse.json(
                                        new PeerHello(
                                                address(), 1, address(), 0, 0, 0, 0, true, false,
                                                0.0, List.of()))));
        entry.route(
                "POST",
                "/agent/report",
                call -> {
                    lastReport = call.read(AgentReport.class);
                    return CompletableFuture.completedFuture(
                            HttpServerResponse.json(ordersFor(lastReport)));
                });
        entry.start();
        upstream.restart(FIRST_BORN_MILLIS);
        upstream.delayStarts();
        agent = new AgentRunner("a", List.of(address()), upstream, loop, new Metrics());
        agent.onNotice(
                new UpstreamNotice(
                        "i-1",
                        FIRST_BORN_MILLIS,
                        "service",
                        "zone",
                        UpstreamState.READY,
                        new Resources(8_000, 1_000, 8),
                        List.of(),
                        "",
                        0,
                        1));
        agent.start();
    }

    @AfterEach
    void stop() {
        agent.close();
        loop.shutdownNow();
        entry.close();
    }

    @Nested
    class EndOfALateStart {
        // Guards against a task that runs again after it was done: the first poll of the next
        // incarnation acknowledged ends by the numbers of the incarnation before.
        @Test
        void isListedToTheDispatcher() throws InterruptedException {
            Polling.await(() -> upstream.delayedStartCount() > 0, WAIT_SECONDS);
            synchronized (upstream) {
                upstream.restart(SECOND_BORN_MILLIS);
                upstream.runDelayedStarts();
                assertThat(upstream.runningTasks()).containsExactly(TASK);
                upstream.advanceClock(RUN_MILLIS);
                assertThat(upstream.runningTasks()).isEmpty();
            }
            Polling.await(
                    () ->
                            lastReport.looked()
                                    && lastReport.notice().bornMillis() == SECOND_BORN_MILLIS,
                    WAIT_SECONDS);

            assertThat(lastReport.ended()).extracting(EndedRun::end).containsExactly(RunEnd.DONE);
        }
    }
}
