package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what a follower makes of a snapshot beyond the end of the operator log. */
class FleetAdoptionTest {
    private static final LogPartition PARTITION = new LogPartition("keyed.op", 0);
    private static final long WAIT_SECONDS = 10;
    private static final long FALSE_OFFSET = 1_000_000;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ScheduledExecutorService loop = Timers.singleThread("follower");
    private final FleetFollower follower =
            new FleetFollower(log, PARTITION, new LengthDecoder(), loop, new Metrics());

    /** Decodes every record to a configuration whose version is the length of the value. */
    private static final class LengthDecoder implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord operatorRecord) {
            return Optional.of(
                    new FleetConfiguration(operatorRecord.value().length, List.of(), List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return Optional.empty();
        }
    }

    private void storeConfiguration(int version) {
        KeyedRecord configuration = new KeyedRecord("config", new byte[version]);
        log.append(PARTITION, List.of(configuration), KeyedLog.ANY_END, Duration.ZERO);
    }

    @AfterEach
    void stop() {
        follower.close();
        loop.shutdownNow();
    }

    @Nested
    class BeyondTheEndOfTheLog {
        // Guards against a process that learns no configuration any more: the offset of a peer was
        // taken for that of the log.
        @Test
        void doesNotHideLaterConfigurations() throws InterruptedException {
            storeConfiguration(1);
            follower.start();
            Polling.await(() -> follower.view().version() == 1, WAIT_SECONDS);
            KeyedRecord record = new KeyedRecord("config", new byte[2]);
            follower.adopt(new FleetSnapshot(FALSE_OFFSET, List.of(record)), "peer");
            Polling.await(() -> follower.view().offset() == FALSE_OFFSET, WAIT_SECONDS);

            storeConfiguration(3);
            Thread.sleep(Duration.ofSeconds(5).toMillis());

            assertThat(follower.view().version()).isEqualTo(3);
        }
    }
}
