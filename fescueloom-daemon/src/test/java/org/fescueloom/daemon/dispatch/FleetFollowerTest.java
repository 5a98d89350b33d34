package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetFollowerTest {
    private static final String TOPIC = "keyed.op";
    private static final long WAIT_SECONDS = 10;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final FaultInjectingLog way = new FaultInjectingLog(log);
    private final ScheduledExecutorService loop = Timers.singleThread("follower");
    private final FleetFollower follower = follower(way);

    private FleetFollower follower(KeyedLog keyedLog) {
        return new FleetFollower(keyedLog, TOPIC, new Versions(), loop, new Metrics());
    }

    /** Reads the version of a configuration from the text of its record. */
    private static final class Versions implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord item) {
            if (!item.key().equals("config")) {
                return Optional.empty();
            }
            long version = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
            return Optional.of(new FleetConfiguration(version, List.of(), List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return key.startsWith("out/")
                    ? Optional.of(key.substring("out/".length()))
                    : Optional.empty();
        }
    }

    private void configure(long version) {
        store("config", Long.toString(version));
    }

    private void store(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        log.append(TOPIC, List.of(new KeyedRecord(key, bytes)), KeyedLog.ANY_END, Duration.ZERO);
    }

    private void startAt(long version) throws InterruptedException {
        configure(version);
        follower.start();
        Polling.await(() -> follower.view().version() == version, WAIT_SECONDS);
    }

    @AfterEach
    void stop() {
        follower.close();
        loop.shutdownNow();
    }

    @Nested
    class Return {
        /** Guards against incident 18: calls were refused for seconds after the log was back. */
        @Test
        void ofTheLogIsNoticedWithoutWaitingForNews() throws InterruptedException {
            startAt(1);
            way.setClosed(true);
            Polling.await(follower::logFailing, WAIT_SECONDS);

            way.setClosed(false);
            long back = System.nanoTime();
            Polling.await(() -> !follower.logFailing(), WAIT_SECONDS);

            // The pauses between reads are half a second at most.
            assertThat(System.nanoTime() - back).isLessThan(TimeUnit.SECONDS.toNanos(1));
        }
    }

    @Nested
    class OddRecords {
        // Guards against incident 24: the follower stopped at a record that its decoder failed on.
        @Test
        void areReadPast() throws InterruptedException {
            startAt(1);

            store("config", "odd");
            store("out/z", "x");
            configure(2);

            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);
            assertThat(follower.view().zonesOut()).containsExactly("z");
            assertThat(follower.view().offset()).isEqualTo(4);
        }

        // Guards against incident 24: a follower that met such a record at its start read nothing.
        @Test
        void areReadPastAtTheStart() throws InterruptedException {
            store("config", "odd");
            follower.start();

            Polling.await(() -> follower.view().offset() == 1, WAIT_SECONDS);
            configure(2);

            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);
        }
    }

    @Nested
    class Adoption {
        private FleetSnapshot copyOfAnother() throws InterruptedException {
            FleetFollower other = follower(log);
            other.start();
            Polling.await(
                    () -> other.snapshot().offset() == log.records(TOPIC).size(), WAIT_SECONDS);
            other.close();
            return other.snapshot();
        }

        @Test
        void takesZonesAndConfigurationAndGoesOnBehindThem() throws InterruptedException {
            startAt(1);
            way.setClosed(true);
            configure(2);
            store("out/z", "x");

            follower.adopt(copyOfAnother(), "other");
            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);
            assertThat(follower.view().zonesOut()).containsExactly("z");

            store("out/z", "");
            configure(3);
            way.setClosed(false);
            Polling.await(() -> follower.view().version() == 3, WAIT_SECONDS);
            assertThat(follower.view().zonesOut()).isEmpty();
            assertThat(follower.view().offset()).isEqualTo(log.records(TOPIC).size());
        }

        @Test
        void doesNotGoBack() throws InterruptedException {
            startAt(1);
            FleetSnapshot old = copyOfAnother();
            configure(2);
            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);

            follower.adopt(old, "other");
            configure(3);

            Polling.await(() -> follower.view().version() == 3, WAIT_SECONDS);
            assertThat(follower.view().offset()).isEqualTo(3);
        }

        @Test
        void helpsAProcessThatHasReadNothingYet() throws InterruptedException {
            configure(5);
            way.setClosed(true);
            follower.start();
            Polling.await(follower::logFailing, WAIT_SECONDS);

            follower.adopt(copyOfAnother(), "other");

            Polling.await(() -> follower.view().version() == 5, WAIT_SECONDS);
        }
    }

    @Nested
    class Currency {
        @Test
        void lastsAsLongAsTheLogAnswers() throws InterruptedException {
            assertThat(follower.viewCurrent()).isFalse();
            startAt(1);
            Polling.await(follower::viewCurrent, WAIT_SECONDS);

            way.setClosed(true);
            Polling.await(() -> !follower.viewCurrent(), WAIT_SECONDS);
        }

        @Test
        void comesFromAnotherProcessThatKnowsNothingNewer() throws InterruptedException {
            startAt(1);
            way.setClosed(true);
            Polling.await(() -> !follower.viewCurrent(), WAIT_SECONDS);

            follower.confirm(2, follower.now());
            loopIsDone();
            assertThat(follower.viewCurrent()).isFalse();

            follower.confirm(1, follower.now());
            loopIsDone();
            assertThat(follower.viewCurrent()).isTrue();
        }

        private void loopIsDone() {
            CompletableFuture.runAsync(() -> {}, loop).join();
        }
    }
}
