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
    private static final LogPartition PARTITION = new LogPartition("keyed.op", 0);
    private static final long WAIT_SECONDS = 10;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final FaultInjectingLog faultyLog = new FaultInjectingLog(log);
    private final ScheduledExecutorService loop = Timers.singleThread("follower");
    private final FleetFollower follower = follower(faultyLog);

    private FleetFollower follower(KeyedLog keyedLog) {
        return new FleetFollower(keyedLog, PARTITION, new VersionDecoder(), loop, new Metrics());
    }

    /** Decodes the version of a configuration from the value of its record. */
    private static final class VersionDecoder implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord keyedRecord) {
            if (!keyedRecord.key().equals("config")) {
                return Optional.empty();
            }
            long version = Long.parseLong(new String(keyedRecord.value(), StandardCharsets.UTF_8));
            return Optional.of(new FleetConfiguration(version, List.of(), List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return key.startsWith("out/")
                    ? Optional.of(key.substring("out/".length()))
                    : Optional.empty();
        }
    }

    private void storeConfiguration(long version) {
        store("config", Long.toString(version));
    }

    private void store(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        log.append(
                PARTITION, List.of(new KeyedRecord(key, bytes)), KeyedLog.ANY_END, Duration.ZERO);
    }

    private void startWithVersion(long version) throws InterruptedException {
        storeConfiguration(version);
        follower.start();
        Polling.await(() -> follower.view().version() == version, WAIT_SECONDS);
    }

    @AfterEach
    void stop() {
        follower.close();
        loop.shutdownNow();
    }

    @Nested
    class LogRecovery {
        /**
         * Guards against incident 18: calls were refused for seconds after the log service had
         * recovered.
         */
        @Test
        void isNoticedWithoutWaitingForNewRecords() throws InterruptedException {
            startWithVersion(1);
            faultyLog.setClosed(true);
            Polling.await(follower::logFailing, WAIT_SECONDS);

            faultyLog.setClosed(false);
            long recoveredNanos = System.nanoTime();
            Polling.await(() -> !follower.logFailing(), WAIT_SECONDS);

            // Retries pause for at most half a second.
            assertThat(System.nanoTime() - recoveredNanos).isLessThan(TimeUnit.SECONDS.toNanos(1));
        }
    }

    @Nested
    class UnreadableRecords {
        // Guards against incident 24: the follower stopped at a record on which its decoder
        // failed.
        @Test
        void areSkipped() throws InterruptedException {
            startWithVersion(1);

            store("config", "odd");
            store("out/z", "x");
            storeConfiguration(2);

            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);
            assertThat(follower.view().zonesOut()).containsExactly("z");
            assertThat(follower.view().offset()).isEqualTo(4);
        }

        // Guards against incident 24: a follower that read an unreadable record at its start read
        // no more records.
        @Test
        void areSkippedAtTheStart() throws InterruptedException {
            store("config", "odd");
            follower.start();

            Polling.await(() -> follower.view().offset() == 1, WAIT_SECONDS);
            storeConfiguration(2);

            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);
        }
    }

    @Nested
    class Adoption {
        private FleetSnapshot snapshotOfAnotherProcess() throws InterruptedException {
            FleetFollower other = follower(log);
            other.start();
            Polling.await(
                    () -> other.snapshot().offset() == log.records(PARTITION).size(), WAIT_SECONDS);
            other.close();
            return other.snapshot();
        }

        @Test
        void takesConfigurationAndZonesAndContinuesAfterThem() throws InterruptedException {
            startWithVersion(1);
            faultyLog.setClosed(true);
            storeConfiguration(2);
            store("out/z", "x");

            follower.adopt(snapshotOfAnotherProcess(), "other");
            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);
            assertThat(follower.view().zonesOut()).containsExactly("z");

            store("out/z", "");
            storeConfiguration(3);
            faultyLog.setClosed(false);
            Polling.await(() -> follower.view().version() == 3, WAIT_SECONDS);
            assertThat(follower.view().zonesOut()).isEmpty();
            assertThat(follower.view().offset()).isEqualTo(log.records(PARTITION).size());
        }

        @Test
        void ignoresAnOlderSnapshot() throws InterruptedException {
            startWithVersion(1);
            FleetSnapshot old = snapshotOfAnotherProcess();
            storeConfiguration(2);
            Polling.await(() -> follower.view().version() == 2, WAIT_SECONDS);

            follower.adopt(old, "other");
            storeConfiguration(3);

            Polling.await(() -> follower.view().version() == 3, WAIT_SECONDS);
            assertThat(follower.view().offset()).isEqualTo(3);
        }

        @Test
        void suppliesAProcessThatHasReadNothingYet() throws InterruptedException {
            storeConfiguration(5);
            faultyLog.setClosed(true);
            follower.start();
            Polling.await(follower::logFailing, WAIT_SECONDS);

            follower.adopt(snapshotOfAnotherProcess(), "other");

            Polling.await(() -> follower.view().version() == 5, WAIT_SECONDS);
        }
    }

    @Nested
    class CurrentView {
        @Test
        void lastsWhileTheLogServiceResponds() throws InterruptedException {
            assertThat(follower.viewCurrent()).isFalse();
            startWithVersion(1);
            Polling.await(follower::viewCurrent, WAIT_SECONDS);

            faultyLog.setClosed(true);
            Polling.await(() -> !follower.viewCurrent(), WAIT_SECONDS);
        }

        @Test
        void isConfirmedByAProcessThatKnowsNothingNewer() throws InterruptedException {
            startWithVersion(1);
            faultyLog.setClosed(true);
            Polling.await(() -> !follower.viewCurrent(), WAIT_SECONDS);

            // The follower has read up to offset 1 only, so it ignores a confirmation for offset 2.
            follower.confirm(2, follower.now());
            awaitEventLoop();
            assertThat(follower.viewCurrent()).isFalse();

            follower.confirm(1, follower.now());
            awaitEventLoop();
            assertThat(follower.viewCurrent()).isTrue();
        }

        private void awaitEventLoop() {
            CompletableFuture.runAsync(() -> {}, loop).join();
        }
    }
}
