package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link IntakePartitions} through the writer that uses it. */
class IntakePartitionsTest {
    private static final int PARTITIONS = 4;

    /** The time for which a caller waits. */
    private static final long WAIT_MILLIS = 2_500;

    /** The time in which an entry has to store a request while any partition responds. */
    private static final long MAX_STORE_MILLIS = 600;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final HangingLog hangingLog = new HangingLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final Metrics metrics = new Metrics();
    private final HttpClient http = new HttpClient(1, Duration.ofSeconds(1));
    private boolean operatorLogFailing;
    private final IntakeWriter writer =
            createWriter(
                    new LogAccess(hangingLog, PARTITIONS),
                    loop,
                    http,
                    () -> operatorLogFailing,
                    metrics);

    /** Creates the writer of an entry that knows no other entry. */
    static IntakeWriter createWriter(
            LogAccess log,
            ManualScheduler loop,
            HttpClient http,
            BooleanSupplier operatorLogFailing,
            Metrics metrics) {
        LogServiceContact clocks = loop.logServiceContact();
        return new IntakeWriter(
                IntakePartitions.create(log, "entry", loop, clocks, metrics),
                http,
                new EntryState(
                        operatorLogFailing,
                        () -> Connectivity.SERVED,
                        List::of,
                        job -> false,
                        () -> true),
                loop,
                clocks,
                metrics);
    }

    /** Gives no response to the calls to some partitions, and may execute the appends later. */
    private final class HangingLog implements KeyedLog {
        private final Set<LogPartition> hanging = new HashSet<>();
        private final Set<LogPartition> refusing = new HashSet<>();
        private final List<Runnable> heldAppends = new ArrayList<>();
        private int appends;

        @Override
        public CompletableFuture<AppendOutcome> append(
                LogPartition partition,
                List<KeyedRecord> records,
                long expectedEnd,
                Duration timeout) {
            appends++;
            if (refusing.contains(partition)) {
                return CompletableFuture.failedFuture(
                        new SchedulerException(
                                FailureType.LOG_UNAVAILABLE, "injected by the test"));
            }
            if (!hanging.contains(partition)) {
                return log.append(partition, records, expectedEnd, timeout);
            }
            CompletableFuture<AppendOutcome> held = new CompletableFuture<>();
            heldAppends.add(
                    () ->
                            log.append(partition, records, expectedEnd, timeout)
                                    .thenAccept(held::complete));
            return held;
        }

        @Override
        public CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey) {
            return hanging.contains(partition)
                    ? new CompletableFuture<>()
                    : log.newest(partition, afterKey);
        }

        @Override
        public CompletableFuture<KeyedSlice> read(
                LogPartition partition, long from, Duration wait) {
            return log.read(partition, from, wait);
        }
    }

    @AfterEach
    void close() {
        http.close();
    }

    private static IntakeRequest request(String id) {
        return IntakeRequest.of(JobSamples.singleTask(id));
    }

    private boolean storedIn(int partition, IntakeRequest request) {
        return log.records(IntakeRequest.partition(partition)).stream()
                .anyMatch(r -> r.key().equals(request.key()));
    }

    private void hangAllBut(int responding) {
        hangingLog.hanging.clear();
        for (int i = 0; i < PARTITIONS; i++) {
            if (i != responding) {
                hangingLog.hanging.add(IntakeRequest.partition(i));
            }
        }
    }

    /** Stores a request, and checks that the caller hears of it in time. */
    private void storeInTime(IntakeRequest request) {
        CompletableFuture<Void> call = writer.store(request, WAIT_MILLIS);
        loop.advance(MAX_STORE_MILLIS);
        assertThat(call).isCompletedWithValue(null);
    }

    /** Guards against incident 45: callers waited for a silent partition, and heard 504. */
    @Nested
    class SilentPartitions {
        @Test
        void areLeftForAnyThatResponds() {
            for (int responding = 0; responding < PARTITIONS; responding++) {
                hangingLog.hanging.clear();
                storeInTime(request("before-" + responding));
                hangAllBut(responding);

                storeInTime(request("job-" + responding));
                assertThat(storedIn(responding, request("job-" + responding))).isTrue();
            }
        }

        @Test
        void areNotTriedForEachRequest() {
            hangAllBut(2);
            storeInTime(request("first"));
            int appendsBefore = hangingLog.appends;
            storeInTime(request("second"));

            assertThat(hangingLog.appends).isEqualTo(appendsBefore + 1);
        }

        @Test
        void areUsedAgainIfTheOthersFail() {
            hangAllBut(1);
            storeInTime(request("first"));
            hangAllBut(3);

            storeInTime(request("second"));
            assertThat(storedIn(3, request("second"))).isTrue();
        }

        @Test
        void areProbedBeforeACallerIsRefused() {
            hangAllBut(1);
            storeInTime(request("first"));
            hangingLog.hanging.clear();
            hangingLog.refusing.add(IntakeRequest.partition(1));

            storeInTime(request("second"));
        }

        @Test
        void areProbedTogetherWhileTheOperatorLogFails() {
            operatorLogFailing = true;
            hangAllBut(2);
            storeInTime(request("j"));

            assertThat(storedIn(2, request("j"))).isTrue();
            assertThat(hangingLog.heldAppends).isEmpty();
        }

        @Test
        void mayExecuteAnAppendAfterAnotherPartitionHas() {
            hangAllBut(2);
            storeInTime(request("j"));
            hangingLog.heldAppends.forEach(Runnable::run);
            loop.advance(WAIT_MILLIS);

            assertThat(storedIn(2, request("j"))).isTrue();
            assertThat(metrics.registry().counter("intake.stored").getCount()).isEqualTo(1);
        }

        @Test
        void leaveTheOutcomeUnknownOnlyIfNoneResponds() {
            hangAllBut(-1);
            CompletableFuture<Void> call = writer.store(request("j"), WAIT_MILLIS);
            loop.advance(WAIT_MILLIS);

            assertThat(call.handle((v, error) -> Failures.typeOf(error)))
                    .isCompletedWithValue(FailureType.OUTCOME_UNKNOWN);
            assertThat(metrics.registry().counter("intake.outcomes-unknown").getCount())
                    .isEqualTo(1);
        }

        @Test
        void areNoticedWithin500MillisAfterAllWereSilent() {
            hangAllBut(-1);
            CompletableFuture<Void> call = writer.store(request("j"), WAIT_MILLIS);
            loop.advance(1_500);
            hangAllBut(3);
            loop.advance(500);

            assertThat(call).isCompletedWithValue(null);
        }
    }

    @Nested
    class Deadlines {
        /**
         * Guards against a false "not run": the deadline came while an append was in progress that
         * had not timed out yet.
         */
        @Test
        void leaveTheOutcomeOfAnAppendInProgressUnknown() {
            hangAllBut(-1);
            for (int waitMillis = 1; waitMillis <= 10; waitMillis++) {
                int appendsBefore = hangingLog.appends;
                CompletableFuture<Void> call =
                        writer.store(request("job-" + waitMillis), waitMillis);
                loop.advance(waitMillis);
                assertThat(hangingLog.appends).isGreaterThan(appendsBefore);
                assertThat(call.handle((v, error) -> Failures.typeOf(error)))
                        .as("a caller that waits for %d ms", waitMillis)
                        .isCompletedWithValue(FailureType.OUTCOME_UNKNOWN);
                // The responses make the partitions respond again for the next caller.
                hangingLog.heldAppends.forEach(Runnable::run);
                loop.advance(0);
            }
        }
    }
}
