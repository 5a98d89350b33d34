package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.metrics.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AgentRunnerTest {
    private static final long WAIT_SECONDS = 20;

    private final HttpServer entry = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final ScheduledExecutorService loop = Timers.singleThread("agent");
    private final Queue<PeerHello> hellos = new ConcurrentLinkedQueue<>();
    private final AtomicInteger reports = new AtomicInteger();
    private AgentRunner agent;

    private String address() {
        return "127.0.0.1:" + entry.port();
    }

    private static PeerHello hello(String address, String dispatcher, List<String> entries) {
        return new PeerHello(address, 1, dispatcher, 0, 0, 0, 0, true, false, entries);
    }

    /** Answers with the hellos that wait, then names itself as the dispatcher. */
    @BeforeEach
    void startEntry() {
        entry.route(
                "GET",
                "/agent/dispatcher",
                call -> {
                    PeerHello next = hellos.poll();
                    PeerHello told = next == null ? hello(address(), address(), List.of()) : next;
                    return CompletableFuture.completedFuture(HttpReply.json(told));
                });
        entry.route(
                "POST",
                "/agent/report",
                call -> {
                    reports.incrementAndGet();
                    AgentOrders none =
                            new AgentOrders(1, 0, "", 0, List.of(), List.of(), List.of());
                    return CompletableFuture.completedFuture(HttpReply.json(none));
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
    class Search {
        // Guards against incident 24: one odd address among the seeds ended the search for good.
        @Test
        void goesOnPastSeedsThatAreNoAddress() throws InterruptedException {
            start(List.of("10.0.0.1:99999", "no address", "", address()));

            awaitReports();
        }

        // Guards against incident 24: an odd key among the entries ended the search for good.
        @Test
        void goesOnPastEntriesThatAreNoAddress() throws InterruptedException {
            for (int i = 0; i < 4; i++) {
                hellos.add(hello(address(), "", List.of("10.0.0.1:99999", "no address", "")));
            }
            start(List.of(address()));

            awaitReports();
        }

        // Guards against incident 24: an odd address of the dispatcher ended reports for good.
        @Test
        void goesOnPastADispatcherThatIsNoAddress() throws InterruptedException {
            for (int i = 0; i < 4; i++) {
                hellos.add(hello(address(), "10.0.0.1:99999", List.of()));
            }
            start(List.of(address()));

            awaitReports();
        }
    }
}
