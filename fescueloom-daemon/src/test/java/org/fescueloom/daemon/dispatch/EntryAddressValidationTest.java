package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which addresses an {@link EntryNode} accepts from other processes and passes on. */
class EntryAddressValidationTest {
    private static final long WAIT_SECONDS = 20;
    private static final List<String> INVALID =
            List.of("", "no address", "10.0.0.1:99999", "a:1/b");
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final HttpServer server = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final HttpClient http = new HttpClient(2, Duration.ofSeconds(1));
    private final ScheduledExecutorService loop = Timers.singleThread("entry");
    private final Metrics metrics = new Metrics();
    private final FleetFollower follower =
            new FleetFollower(
                    log, new LogPartition("keyed.op", 0), new EmptyDecoder(), loop, metrics);
    private final EntryNode node =
            new EntryNode(
                    "127.0.0.1:1",
                    1,
                    INVALID,
                    new LogAccess(log, 1),
                    TIMINGS,
                    loop,
                    follower,
                    metrics);

    /** Decodes no record. */
    private static final class EmptyDecoder implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord operatorRecord) {
            return Optional.empty();
        }

        @Override
        public Optional<String> zone(String key) {
            return Optional.empty();
        }
    }

    @BeforeEach
    void start() {
        for (String key : List.of("no address", "10.0.0.1:99999", "127.0.0.1:3")) {
            KeyedRecord entryRecord = new KeyedRecord(key, new byte[] {1});
            log.append(EntryDirectory.LOG, List.of(entryRecord), KeyedLog.ANY_END, Duration.ZERO);
        }
        node.routes(server);
        server.start();
        node.start();
    }

    @AfterEach
    void stop() {
        node.close();
        loop.shutdownNow();
        http.close();
        server.close();
    }

    private PeerHello call(String method, String path, PeerHello body) {
        return http.send(
                        HttpClient.request(method, "127.0.0.1:" + server.port(), path, body)
                                .build(),
                        Duration.ofSeconds(10))
                .join()
                .read(PeerHello.class);
    }

    private List<String> knownEntries() {
        return call("GET", "/agent/dispatcher", null).entries();
    }

    // Guards against incident 24: agents received an invalid address and stopped searching for
    // entries.
    @Test
    void skipsInvalidAddressesInTheLog() throws InterruptedException {
        Polling.await(() -> knownEntries().contains("127.0.0.1:3"), WAIT_SECONDS);

        assertThat(knownEntries()).containsExactly("127.0.0.1:1", "127.0.0.1:3");
    }

    // Guards against incident 24: an invalid peer address was called and passed on to all entries.
    @Test
    void skipsInvalidAddressesFromPeers() throws InterruptedException {
        Polling.await(() -> knownEntries().contains("127.0.0.1:3"), WAIT_SECONDS);
        for (String invalid : INVALID) {
            PeerHello hello =
                    new PeerHello(
                            invalid,
                            7,
                            invalid,
                            0,
                            0,
                            9,
                            0,
                            true,
                            false,
                            0.0,
                            List.of("127.0.0.1:2"));

            assertThat(call("POST", "/peer/hello", hello).entries())
                    .containsExactly("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
            assertThat(knownEntries()).doesNotContainAnyElementsOf(INVALID);
        }
    }

    // Guards against incident 24: all entries accepted an invalid dispatcher address.
    @Test
    void ignoresAnInvalidDispatcherAddress() {
        PeerHello hello =
                new PeerHello(
                        "127.0.0.1:2",
                        7,
                        "10.0.0.1:99999",
                        0,
                        0,
                        0,
                        0,
                        true,
                        false,
                        0.0,
                        List.of());

        PeerHello response = call("POST", "/peer/hello", hello);

        assertThat(response.epoch()).isEqualTo(7);
        assertThat(response.dispatcher()).isEmpty();
    }
}
