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
    private static final String TOPIC = "keyed.op";
    private static final List<String> OTHERS = List.of("a:1", "b:1", "c:1", "d:1", "e:1");

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final FaultInjectingLog way = new FaultInjectingLog(log);
    private final ScheduledExecutorService loop = Timers.singleThread("follower");
    private final HttpClient http = new HttpClient(4, Duration.ofSeconds(1));
    private final FleetFollower follower =
            new FleetFollower(way, TOPIC, new OneVersion(), loop, new Metrics());
    private final List<String> asked = new ArrayList<>();
    private final PeerFleetSync exchange =
            new PeerFleetSync(follower, http, asked::add, Runnable::run);

    /** Reads the same configuration from each record. */
    private static final class OneVersion implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord item) {
            return Optional.of(new FleetConfiguration(1, List.of(), List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return Optional.empty();
        }
    }

    @BeforeEach
    void follow() throws InterruptedException {
        KeyedRecord item = new KeyedRecord("config", new byte[1]);
        log.append(TOPIC, List.of(item), KeyedLog.ANY_END, Duration.ZERO);
        follower.start();
        await(follower::viewCurrent);
    }

    @AfterEach
    void stop() {
        follower.close();
        loop.shutdownNow();
        http.close();
    }

    private void loseTheLog() throws InterruptedException {
        way.setClosed(true);
        await(follower::logFailing);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        Polling.await(condition, WAIT_SECONDS);
    }

    private static PeerHello hello(String address, boolean logServes) {
        return new PeerHello(address, 1, "a:1", 0, 0, 1, 0, logServes, false, List.of());
    }

    @Nested
    class Questions {
        @Test
        void areNotAskedWhileTheLogAnswers() {
            exchange.askPeersIfStale("a:1", OTHERS);

            assertThat(asked).isEmpty();
        }

        @Test
        void goToTheDispatcherAndToWhoWasHeardOf() throws InterruptedException {
            loseTheLog();
            exchange.onHello(hello("d:1", true));

            exchange.askPeersIfStale("b:1", OTHERS);

            assertThat(asked).hasSize(3).doesNotHaveDuplicates().startsWith("b:1", "d:1");
        }

        @Test
        void arePaced() throws InterruptedException {
            loseTheLog();

            exchange.askPeersIfStale("a:1", OTHERS);
            exchange.askPeersIfStale("a:1", OTHERS);

            assertThat(asked).hasSize(3);
        }
    }

    @Nested
    class Reached {
        @Test
        void isTheLogWhileItAnswers() {
            assertThat(exchange.reach()).isEqualTo(Connectivity.SERVED);
        }

        @Test
        void isTheLogThroughAnotherEntry() throws InterruptedException {
            loseTheLog();
            exchange.askPeersIfStale("a:1", OTHERS);
            assertThat(exchange.reach()).isEqualTo(Connectivity.LOG_DOWN);

            exchange.onHelloAnswer(hello("a:1", true), follower.now());

            assertThat(exchange.reach()).isEqualTo(Connectivity.SERVED);
        }

        @Test
        void areOnlyEntriesThatTheLogFailsToo() throws InterruptedException {
            loseTheLog();
            exchange.askPeersIfStale("a:1", OTHERS);

            exchange.onHelloAnswer(hello("a:1", false), follower.now());

            assertThat(exchange.reach()).isEqualTo(Connectivity.LOG_DOWN);
        }

        @Test
        void isNothingOnceNobodyHasAnsweredForASecond() throws InterruptedException {
            loseTheLog();
            exchange.askPeersIfStale("a:1", OTHERS);

            await(() -> exchange.reach() == Connectivity.CUT_OFF);
            exchange.onHelloAnswer(hello("a:1", false), follower.now());

            assertThat(exchange.reach()).isEqualTo(Connectivity.LOG_DOWN);
        }
    }
}
