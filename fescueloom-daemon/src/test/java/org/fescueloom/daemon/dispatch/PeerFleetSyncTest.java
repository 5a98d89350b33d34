package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerFleetSyncTest {
    private static final long WAIT_SECONDS = 10;
    private static final LogPartition PARTITION = new LogPartition("keyed.op", 0);
    private static final List<String> PEERS = List.of("a:1", "b:1", "c:1", "d:1", "e:1");

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final FaultInjectingLog faultyLog = new FaultInjectingLog(log);
    private final ScheduledExecutorService loop = Timers.singleThread("follower");
    private final HttpClient http = new HttpClient(4, Duration.ofSeconds(1));
    private final FleetFollower follower =
            new FleetFollower(faultyLog, PARTITION, new ConstantDecoder(), loop, new Metrics());
    private final List<String> askedPeers = new ArrayList<>();
    private final PeerFleetSync sync =
            new PeerFleetSync(follower, http, askedPeers::add, Runnable::run);

    /** Decodes the same configuration from each record. */
    private static final class ConstantDecoder implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord keyedRecord) {
            return Optional.of(new FleetConfiguration(1, List.of(), List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return Optional.empty();
        }
    }

    @BeforeEach
    void startFollower() throws InterruptedException {
        KeyedRecord keyedRecord = new KeyedRecord("config", new byte[1]);
        log.append(PARTITION, List.of(keyedRecord), KeyedLog.ANY_END, Duration.ZERO);
        follower.start();
        await(follower::viewCurrent);
    }

    @AfterEach
    void stop() {
        follower.close();
        loop.shutdownNow();
        http.close();
    }

    private void failLog() throws InterruptedException {
        faultyLog.setClosed(true);
        await(follower::logFailing);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        Polling.await(condition, WAIT_SECONDS);
    }

    private static PeerHello hello(String address, boolean logServes) {
        return new PeerHello(address, 1, "a:1", 0, 0, 1, 0, logServes, false, 0.0, List.of());
    }

    @Nested
    class AskedPeers {
        @Test
        void areNoneWhileTheLogServiceResponds() {
            sync.askPeersIfStale("a:1", PEERS);

            assertThat(askedPeers).isEmpty();
        }

        @Test
        void beginWithTheDispatcherAndTheMostRecentlyHeardPeer() throws InterruptedException {
            failLog();
            sync.onHello(hello("d:1", true));

            sync.askPeersIfStale("b:1", PEERS);

            assertThat(askedPeers).hasSize(3).doesNotHaveDuplicates().startsWith("b:1", "d:1");
        }

        @Test
        void areNotAskedAgainWithinTheInterval() throws InterruptedException {
            failLog();

            sync.askPeersIfStale("a:1", PEERS);
            sync.askPeersIfStale("a:1", PEERS);

            assertThat(askedPeers).hasSize(3);
        }
    }

    @Nested
    class ReportedConnectivity {
        @Test
        void isServedWhileTheLogServiceResponds() {
            assertThat(sync.connectivity()).isEqualTo(Connectivity.SERVED);
        }

        @Test
        void isServedIfAPeerReachesTheLog() throws InterruptedException {
            failLog();
            sync.askPeersIfStale("a:1", PEERS);
            assertThat(sync.connectivity()).isEqualTo(Connectivity.LOG_DOWN);

            sync.onHelloResponse(hello("a:1", true), follower.now());

            assertThat(sync.connectivity()).isEqualTo(Connectivity.SERVED);
        }

        @Test
        void isLogDownIfNoPeerReachesTheLog() throws InterruptedException {
            failLog();
            sync.askPeersIfStale("a:1", PEERS);

            sync.onHelloResponse(hello("a:1", false), follower.now());

            assertThat(sync.connectivity()).isEqualTo(Connectivity.LOG_DOWN);
        }

        @Test
        void isCutOffAfterASecondWithoutAnyResponse() throws InterruptedException {
            failLog();
            sync.askPeersIfStale("a:1", PEERS);

            await(() -> sync.connectivity() == Connectivity.CUT_OFF);
            sync.onHelloResponse(hello("a:1", false), follower.now());

            assertThat(sync.connectivity()).isEqualTo(Connectivity.LOG_DOWN);
        }
    }
}
