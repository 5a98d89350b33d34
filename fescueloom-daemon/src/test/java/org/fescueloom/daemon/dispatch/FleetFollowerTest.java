package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
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
    private final ScheduledExecutorService loop = Timers.singleThread("follower");
    private final FleetFollower follower =
            new FleetFollower(new LongPoll(), TOPIC, new Versions(), loop, new Metrics());

    /** Answers reads that wait only once there are records, as the log service does. */
    private final class LongPoll implements KeyedLog {
        @Override
        public CompletableFuture<AppendOutcome> append(
                String topic, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
            return log.append(topic, records, expectedEnd, timeout);
        }

        @Override
        public CompletableFuture<KeyedPage> newest(String topic, String afterKey) {
            return log.newest(topic, afterKey);
        }

        @Override
        public CompletableFuture<KeyedSlice> read(String topic, long from, Duration wait) {
            return log.read(topic, from, wait)
                    .thenCompose(
                            slice ->
                                    wait.isZero() || !slice.records().isEmpty()
                                            ? CompletableFuture.completedFuture(slice)
                                            : later(() -> log.read(topic, from, wait), wait));
        }
    }

    /** Reads the version of a configuration from the text of its record. */
    private static final class Versions implements OperatorDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord item) {
            long version = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
            return Optional.of(new FleetConfiguration(version, List.of(), List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return Optional.empty();
        }
    }

    private interface Read {
        CompletableFuture<KeyedSlice> start();
    }

    private CompletableFuture<KeyedSlice> later(Read read, Duration wait) {
        return CompletableFuture.supplyAsync(
                        () -> null,
                        CompletableFuture.delayedExecutor(
                                wait.toMillis(), TimeUnit.MILLISECONDS, loop))
                .thenCompose(none -> read.start());
    }

    private void configure(long version) {
        byte[] value = Long.toString(version).getBytes(StandardCharsets.UTF_8);
        log.append(
                TOPIC, List.of(new KeyedRecord("config", value)), KeyedLog.ANY_END, Duration.ZERO);
    }

    private static void await(BooleanSupplier condition, long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition in time").isLessThan(end);
            Thread.sleep(5);
        }
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
            configure(1);
            follower.start();
            await(() -> follower.view().version() == 1, WAIT_SECONDS);
            log.onRead(MemoryKeyedLog.Fault.REFUSED);
            await(follower::failing, WAIT_SECONDS);

            log.onRead(MemoryKeyedLog.Fault.NONE);
            long back = System.nanoTime();
            await(() -> !follower.failing(), WAIT_SECONDS);

            // The pauses between reads are half a second at most.
            assertThat(System.nanoTime() - back).isLessThan(TimeUnit.SECONDS.toNanos(1));
        }
    }
}
