package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DurableWriterTest {
    private static final LogPartition PARTITION = new LogPartition("keyed.test", 0);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();

    /** The keys that the writer has reported as stored. */
    private final List<String> stored = new ArrayList<>();

    private boolean replaced;

    private DurableWriter writer(KeyedLog keyedLog) {
        return new DurableWriter(
                keyedLog,
                PARTITION,
                0,
                loop,
                loop.logServiceContact(),
                new Metrics(),
                () -> replaced = true);
    }

    private void write(DurableWriter writer, String key) {
        writer.put(key, () -> key.getBytes(StandardCharsets.UTF_8));
        writer.whenStored(() -> stored.add(key));
        writer.flush();
    }

    @Nested
    class LostResponses {
        @Test
        void areResolvedByReadingTheLog() {
            DurableWriter writer = writer(log);
            log.setAppendFault(MemoryKeyedLog.Fault.ANSWER_LOST);
            write(writer, "a");
            loop.advance(10);
            assertThat(stored).isEmpty();

            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            loop.advance(1_000);

            assertThat(stored).containsExactly("a");
            assertThat(log.records(PARTITION)).hasSize(1);
        }

        @Test
        void doNotDuplicateRecordsIfTheAppendIsExecutedLate() {
            DurableWriter writer = writer(log);
            log.setAppendFault(MemoryKeyedLog.Fault.DELAYED);
            write(writer, "a");
            loop.advance(10);
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            loop.advance(1_000);
            write(writer, "b");
            loop.advance(100);

            log.runDelayedAppends();

            assertThat(log.records(PARTITION))
                    .extracting(KeyedRecord::key)
                    .containsExactly("a", "b");
        }
    }

    @Nested
    class RecordsThatAreTooLong {
        private static final int LIMIT = 100;

        private final List<String> refused = new ArrayList<>();

        private DurableWriter limitedWriter() {
            log.limitRecords(LIMIT);
            return new DurableWriter(
                    log,
                    PARTITION,
                    0,
                    loop,
                    loop.logServiceContact(),
                    new Metrics(),
                    new DurableWriter.Listener() {
                        @Override
                        public void onReplaced() {
                            replaced = true;
                        }

                        @Override
                        public void onRefused(String key) {
                            refused.add(key);
                        }
                    });
        }

        // Guards against the review's case 1: one record that the log service refuses for good kept
        // all others from being stored.
        @Test
        void doNotStopTheOthers() {
            DurableWriter writer = limitedWriter();
            writer.put("long", () -> new byte[LIMIT]);
            for (int i = 0; i < 20; i++) {
                write(writer, "k" + i);
            }
            loop.advance(10_000);

            assertThat(refused).containsExactly("long");
            assertThat(stored).hasSize(20);
            assertThat(log.records(PARTITION)).hasSize(20);
            assertThat(writer.logFailingForMillis()).isZero();
        }

        @Test
        void areGivenUpOnlyOnceAnotherRecordWasStored() {
            DurableWriter writer = limitedWriter();
            writer.put("long", () -> new byte[LIMIT]);
            writer.flush();
            loop.advance(60_000);
            assertThat(refused).isEmpty();

            write(writer, "short");
            loop.advance(10_000);
            assertThat(refused).containsExactly("long");
            assertThat(stored).containsExactly("short");
        }

        @Test
        void areStoredOnceTheyAreShorter() {
            DurableWriter writer = limitedWriter();
            byte[][] value = {new byte[LIMIT]};
            writer.put("k", () -> value[0]);
            writer.flush();
            loop.advance(1_000);
            value[0] = new byte[1];
            loop.advance(1_000);

            assertThat(refused).isEmpty();
            assertThat(log.records(PARTITION)).extracting(KeyedRecord::key).containsExactly("k");
        }
    }

    @Nested
    class Replacement {
        @Test
        void isDetectedByTheNextAppend() {
            DurableWriter writer = writer(log);
            log.append(PARTITION, List.of(new KeyedRecord("x", new byte[1])), 0, Duration.ZERO);
            write(writer, "a");
            loop.advance(100);

            assertThat(replaced).isTrue();
            assertThat(stored).isEmpty();
        }

        @Test
        void isDetectedByACheckForOtherWriters() {
            DurableWriter writer = writer(log);
            log.append(PARTITION, List.of(new KeyedRecord("x", new byte[1])), 0, Duration.ZERO);
            writer.checkForOtherWriters();
            loop.advance(100);

            assertThat(replaced).isTrue();
        }
    }

    /**
     * Checks under random faults that each record is stored once and in order, and that actions run
     * only after their record is stored.
     */
    @Property(tries = 200, seed = "31")
    void storesEachRecordOnceInOrder(@ForAll long seed) {
        Random random = new Random(seed);
        MemoryKeyedLog faultyLog = new MemoryKeyedLog();
        List<String> reportedKeys = new ArrayList<>();
        DurableWriter writer = writer(faultyLog);
        for (int i = 0; i < 30; i++) {
            MemoryKeyedLog.Fault[] faults = MemoryKeyedLog.Fault.values();
            faultyLog.setAppendFault(faults[random.nextInt(faults.length)]);
            // faults[0] is NONE.
            faultyLog.setReadFault(
                    random.nextInt(4) == 0 ? MemoryKeyedLog.Fault.REFUSED : faults[0]);
            String key = "k" + i;
            writer.put(key, () -> new byte[] {1});
            writer.whenStored(
                    () -> {
                        assertThat(faultyLog.records(PARTITION))
                                .extracting(KeyedRecord::key)
                                .contains(key);
                        reportedKeys.add(key);
                    });
            writer.flush();
            loop.advance(random.nextInt(600));
            if (random.nextInt(5) == 0) {
                faultyLog.runDelayedAppends();
            }
        }
        faultyLog.setAppendFault(MemoryKeyedLog.Fault.NONE);
        faultyLog.setReadFault(MemoryKeyedLog.Fault.NONE);
        loop.advance(5_000);
        faultyLog.runDelayedAppends();

        assertThat(reportedKeys).hasSize(30);
        assertThat(faultyLog.records(PARTITION))
                .extracting(KeyedRecord::key)
                .containsExactlyElementsOf(reportedKeys);
    }

    @Nested
    class CheckForOtherWriters {
        /** Responds to reads only when the test completes them. */
        private final class LogWithHeldReads implements KeyedLog {
            private final List<CompletableFuture<KeyedSlice>> reads = new ArrayList<>();

            @Override
            public CompletableFuture<AppendOutcome> append(
                    LogPartition partition,
                    List<KeyedRecord> records,
                    long expectedEnd,
                    Duration timeout) {
                return log.append(partition, records, expectedEnd, timeout);
            }

            @Override
            public CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey) {
                return log.newest(partition, afterKey);
            }

            @Override
            public CompletableFuture<KeyedSlice> read(
                    LogPartition partition, long from, Duration wait) {
                CompletableFuture<KeyedSlice> read = new CompletableFuture<>();
                reads.add(read);
                return read;
            }
        }

        @Test
        void sendsOneReadAtATime() {
            LogWithHeldReads slow = new LogWithHeldReads();
            DurableWriter writer = writer(slow);
            writer.checkForOtherWriters();
            writer.checkForOtherWriters();

            assertThat(slow.reads).hasSize(1);
        }

        @Test
        void ignoresAFailureOfAReadSentBeforeAnAnsweredAppend() {
            LogWithHeldReads slow = new LogWithHeldReads();
            DurableWriter writer = writer(slow);
            writer.checkForOtherWriters();
            loop.advance(100);
            write(writer, "a");
            loop.advance(TimeUnit.SECONDS.toMillis(1));
            slow.reads
                    .get(0)
                    .completeExceptionally(
                            new SchedulerException(FailureType.LOG_UNDECIDED, "late"));
            loop.advance(10);

            assertThat(writer.logFailingForMillis()).isZero();
        }
    }
}
