package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.ListeningSocket;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what an entry makes of an epoch that another process names. */
class EntryEpochTest {
    private static final long WAIT_SECONDS = 20;
    private static final long FALSE_EPOCH = 1_000_000;
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000);
    private static final LogPartition OPERATOR_LOG = new LogPartition("keyed.op", 0);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final HttpClient http = new HttpClient(2, Duration.ofSeconds(1));
    private final ScheduledExecutorService loop = Timers.singleThread("entry");
    private HttpServer server;
    private FleetFollower follower;
    private EntryNode node;

    /** Decodes every record to an empty configuration. */
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

    @BeforeEach
    void becomeDispatcher() throws Exception {
        KeyedRecord configuration = new KeyedRecord("config", new byte[] {1});
        log.append(OPERATOR_LOG, List.of(configuration), KeyedLog.ANY_END, Duration.ZERO);
        ListeningSocket socket = ListeningSocket.open("127.0.0.1:0");
        server = new HttpServer(socket, 1 << 20);
        Metrics metrics = new Metrics();
        follower =
                new FleetFollower(
                        log, OPERATOR_LOG, new EmptyConfigurationDecoder(), loop, metrics);
        node =
                new EntryNode(
                        socket.address(),
                        1,
                        List.of(),
                        new LogAccess(log, 1),
                        TIMINGS,
                        loop,
                        follower,
                        metrics);
        node.routes(server);
        follower.start();
        server.start();
        node.start();
        Polling.await(node::isDispatcher, WAIT_SECONDS);
    }

    @AfterEach
    void stop() {
        node.close();
        follower.close();
        loop.shutdownNow();
        http.close();
        server.close();
    }

    @Nested
    class HigherThanTheLogEnds {
        // Guards against a system without a dispatcher: an entry believed in an epoch that no claim
        // in the log has, and then in none of its own claims.
        @Test
        void doesNotKeepAnEntryFromDispatching() throws InterruptedException {
            PeerHello hello =
                    new PeerHello(
                            "127.0.0.1:9",
                            FALSE_EPOCH,
                            "127.0.0.1:9",
                            0,
                            0,
                            0,
                            0,
                            true,
                            false,
                            0.0,
                            List.of());
            http.send(
                            HttpClient.request(
                                            "POST",
                                            "127.0.0.1:" + server.port(),
                                            "/peer/hello",
                                            hello)
                                    .build(),
                            Duration.ofSeconds(10))
                    .join();
            Thread.sleep(Duration.ofSeconds(8).toMillis());

            assertThat(node.isDispatcher()).isTrue();
        }
    }
}
