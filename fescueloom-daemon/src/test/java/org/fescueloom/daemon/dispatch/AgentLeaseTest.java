package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how soon an agent tells its upstream of a new lease. */
class AgentLeaseTest {
    private static final long WAIT_SECONDS = 20;
    private static final long SHORT_LEASE_MILLIS = 100;
    private static final long LONG_LEASE_MILLIS = 60_000;

    private final HttpServer entry = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final ScheduledExecutorService loop = Timers.singleThread("agent");
    private final AtomicInteger hangingPolls = new AtomicInteger();
    private final AtomicLong longestLeftMillis = new AtomicLong();
    private AgentRunner agent;

    /** Responds at once to polls that do not wait, and never to others. */
    private final class HangingUpstream implements UpstreamControl {
        @Override
        public CompletableFuture<OrderResult> start(
                String instance, StartOrder order, long token, long leaseUntilMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderResult> stop(String instance, StopOrder order, long token) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<UpstreamSnapshot> poll(
                String instance,
                long token,
                long acknowledged,
                long leaseUntilMillis,
                Duration wait) {
            long clockMillis = Clocks.monotonicMillis();
            longestLeftMillis.accumulateAndGet(leaseUntilMillis - clockMillis, Math::max);
            if (wait.isZero()) {
                return CompletableFuture.completedFuture(
                        new UpstreamSnapshot(clockMillis, 1, List.of(), List.of(), true));
            }
            hangingPolls.incrementAndGet();
            return new CompletableFuture<>();
        }
    }

    private String address() {
        return "127.0.0.1:" + entry.port();
    }

    /** Grants short leases until a poll hangs, and long ones from then on. */
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
                    long lease = hangingPolls.get() > 0 ? LONG_LEASE_MILLIS : SHORT_LEASE_MILLIS;
                    return CompletableFuture.completedFuture(
                            HttpServerResponse.json(
                                    new AgentOrders(
                                            1, lease, "i-1@1", 0, List.of(), List.of(), true,
                                            List.of())));
                });
        entry.start();
        agent =
                new AgentRunner(
                        "a", List.of(address()), new HangingUpstream(), loop, new Metrics());
        agent.onNotice(
                new UpstreamNotice(
                        "i-1",
                        1,
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

    // Guards against runs that lapse after a restart of everything: the new lease waited at the
    // agent until the poll in progress returned, while less was left of the old one.
    @Test
    void aLeaseThatReplacesAnAlmostExpiredOneIsSentDuringAPoll() throws InterruptedException {
        Polling.await(() -> hangingPolls.get() > 0, WAIT_SECONDS);

        Polling.await(() -> longestLeftMillis.get() > LONG_LEASE_MILLIS - 10_000, WAIT_SECONDS);
    }
}
