package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An entry is about to claim while another one, which does not know it, claims. */
class LateClaimTest {
    private static final long WAIT_SECONDS = 20;
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000);
    private static final LogPartition OPERATOR_LOG = new LogPartition("keyed.op", 0);
    private static final long EPOCH = 5;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ScheduledExecutorService loop = Timers.singleThread("entry");
    private final AtomicInteger hellos = new AtomicInteger();
    private final HttpServer peer = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final HttpServer server = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final HttpClient http = new HttpClient(2, Duration.ofSeconds(1));
    private FleetFollower follower;
    private EntryNode node;

    /** Decodes every record to a configuration without queues. */
    private static final class EmptyConfigurationDecoder implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord operatorRecord) {
            return Optional.of(new FleetConfiguration(1, List.of(), List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return Optional.empty();
        }
    }

    private String peerAddress() {
        return "127.0.0.1:" + peer.port();
    }

    /** Answers as an entry that becomes the dispatcher after the first hello message. */
    private Object answer(HttpCall call) {
        boolean dispatching = hellos.incrementAndGet() > 1;
        return new PeerHello(
                peerAddress(),
                dispatching ? EPOCH : 0,
                dispatching ? peerAddress() : "",
                0,
                0,
                0,
                0,
                true,
                false,
                4.0,
                List.of());
    }

    /** Returns a log that does not tell where the job log ends, so that the entry cannot claim. */
    private KeyedLog logWithoutEnd() {
        return new FaultInjectingLog(log) {
            @Override
            public CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey) {
                return partition.equals(JobStore.LOG)
                        ? new CompletableFuture<>()
                        : super.newest(partition, afterKey);
            }
        };
    }

    @BeforeEach
    void start() {
        log.append(
                OPERATOR_LOG,
                List.of(new KeyedRecord("config", new byte[] {1})),
                KeyedLog.ANY_END,
                Duration.ZERO);
        peer.route("POST", "/peer/hello", call -> EntryNode.completedReply(answer(call)));
        peer.start();
        Metrics metrics = new Metrics();
        KeyedLog ownLog = logWithoutEnd();
        follower =
                new FleetFollower(
                        ownLog, OPERATOR_LOG, new EmptyConfigurationDecoder(), loop, metrics);
        node =
                new EntryNode(
                        "127.0.0.9:9",
                        1,
                        List.of(peerAddress()),
                        new LogAccess(ownLog, 1),
                        TIMINGS,
                        loop,
                        follower,
                        metrics);
        node.routes(server);
        server.start();
        follower.start();
        node.start();
    }

    @AfterEach
    void stop() {
        node.close();
        follower.close();
        loop.shutdownNow();
        http.close();
        server.close();
        peer.close();
    }

    private String knownDispatcher() {
        return http.send(
                        HttpClient.request(
                                        "GET",
                                        "127.0.0.1:" + server.port(),
                                        "/agent/dispatcher",
                                        null)
                                .build(),
                        Duration.ofSeconds(10))
                .join()
                .read(PeerHello.class)
                .dispatcher();
    }

    @Nested
    class Candidate {
        @Test
        void asksAgainAndFollowsTheClaim() throws InterruptedException {
            Polling.await(() -> knownDispatcher().equals(peerAddress()), WAIT_SECONDS);

            assertThat(log.records(JobStore.LOG)).isEmpty();
        }
    }
}
