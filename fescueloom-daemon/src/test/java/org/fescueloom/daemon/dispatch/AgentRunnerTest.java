package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AgentRunnerTest {
    private static final long WAIT_SECONDS = 20;

    private final HttpServer entry = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final ScheduledExecutorService loop = Timers.singleThread("agent");
    private final Queue<PeerHello> queuedHellos = new ConcurrentLinkedQueue<>();
    private final AtomicInteger reports = new AtomicInteger();
    private AgentRunner agent;

    private String address() {
        return "127.0.0.1:" + entry.port();
    }

    private static PeerHello hello(String address, String dispatcher, List<String> entries) {
        return new PeerHello(address, 1, dispatcher, 0, 0, 0, 0, true, false, 0.0, entries);
    }

    /**
     * Responds with the queued hello messages first, and then with one that names the entry itself
     * as the dispatcher.
     */
    @BeforeEach
    void startEntry() {
        entry.route(
                "GET",
                "/agent/dispatcher",
                call -> {
                    PeerHello next = queuedHellos.poll();
                    PeerHello response =
                            next == null ? hello(address(), address(), List.of()) : next;
                    return CompletableFuture.completedFuture(HttpServerResponse.json(response));
                });
        entry.route(
                "POST",
                "/agent/report",
                call -> {
                    reports.incrementAndGet();
                    AgentOrders none =
                            new AgentOrders(1, 0, "", 0, List.of(), List.of(), true, List.of());
                    return CompletableFuture.completedFuture(HttpServerResponse.json(none));
                });
        entry.start();
    }

    @AfterEach
    void stop() {
        agent.close();
        loop.shutdownNow();
        entry.close();
    }

    private void start(List<String> seeds) {
        InMemoryUpstream upstream = new InMemoryUpstream("i-1", 1);
        agent = new AgentRunner("a", seeds, upstream, loop, new Metrics());
        agent.start();
    }

    private void awaitReports() throws InterruptedException {
        Polling.await(() -> reports.get() > 0, WAIT_SECONDS);
    }

    @Nested
    class DispatcherSearch {
        // Guards against incident 24: one invalid seed address ended the search permanently.
        @Test
        void skipsInvalidSeedAddresses() throws InterruptedException {
            start(List.of("10.0.0.1:99999", "no address", "", address()));

            awaitReports();
        }

        // Guards against incident 24: an invalid entry address in a response ended the search
        // permanently.
        @Test
        void skipsInvalidEntryAddresses() throws InterruptedException {
            for (int i = 0; i < 4; i++) {
                queuedHellos.add(hello(address(), "", List.of("10.0.0.1:99999", "no address", "")));
            }
            start(List.of(address()));

            awaitReports();
        }

        // Guards against incident 24: an invalid dispatcher address ended the reports permanently.
        @Test
        void ignoresAnInvalidDispatcherAddress() throws InterruptedException {
            for (int i = 0; i < 4; i++) {
                queuedHellos.add(hello(address(), "10.0.0.1:99999", List.of()));
            }
            start(List.of(address()));

            awaitReports();
        }
    }
}
