package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.work.JobView;
import org.fescueloom.work.Submission;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobIntakeTest {
    private static final DispatchTerms TERMS = new DispatchTerms(7_000, 6_000, 1_800, 60_000);
    private static final FleetConfiguration CONFIGURATION =
            new FleetConfiguration(1, List.of(), List.of());
    private static final long WAIT_MILLIS = 500;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualLoop loop = new ManualLoop();
    private final HoldingLog holding = new HoldingLog();
    private final Dispatcher dispatcher = claim();

    /** Answers appends when the test says so. */
    private final class HoldingLog implements KeyedLog {
        private CompletableFuture<AppendOutcome> answer;

        @Override
        public CompletableFuture<AppendOutcome> append(
                String topic, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
            return answer == null ? log.append(topic, records, expectedEnd, timeout) : answer;
        }

        @Override
        public CompletableFuture<KeyedPage> newest(String topic, String afterKey) {
            return log.newest(topic, afterKey);
        }

        @Override
        public CompletableFuture<KeyedSlice> read(String topic, long from, Duration wait) {
            return log.read(topic, from, wait);
        }
    }

    private Dispatcher claim() {
        ClaimAttempt attempt =
                new ClaimAttempt(holding, new DispatchClaim("here", "p"), loop.contact());
        Dispatcher claimed =
                new Dispatcher(
                        ((ClaimAttempt.Result.Won) attempt.run(0, epoch -> {}).join()).start(),
                        TERMS,
                        holding,
                        loop,
                        loop.contact(),
                        () -> new FleetView(CONFIGURATION, Set.of(), 0),
                        () -> List.of("here"),
                        new Metrics(),
                        () -> {});
        claimed.start();
        return claimed;
    }

    private static FailureType failure(CompletableFuture<Void> call) {
        assertThat(call).isCompletedExceptionally();
        return call.handle((v, e) -> Failures.typeOf(e)).join();
    }

    @Nested
    class CallersThatGiveUp {
        private final Submission job = JobSamples.single("j");

        /**
         * Guards against incident 21: once a call was answered as undecided, all repeats were, even
         * after the log had refused the job.
         */
        @Test
        void areToldOfARefusalAfterAnAnswerThatWasUndecided() {
            holding.answer = new CompletableFuture<>();
            CompletableFuture<Void> first = dispatcher.submit(job, WAIT_MILLIS);
            loop.advance(WAIT_MILLIS + 1);
            assertThat(failure(first)).isEqualTo(FailureType.LOG_UNDECIDED);

            CompletableFuture<AppendOutcome> pending = holding.answer;
            log.onAppend(MemoryKeyedLog.Fault.REFUSED);
            holding.answer = null;
            pending.completeExceptionally(
                    new SchedulerException(FailureType.LOG_UNAVAILABLE, "by the test"));
            CompletableFuture<Void> repeat = dispatcher.submit(job, WAIT_MILLIS);
            loop.advance(WAIT_MILLIS + 1);

            assertThat(failure(repeat)).isEqualTo(FailureType.LOG_UNAVAILABLE);
            log.onAppend(MemoryKeyedLog.Fault.NONE);
            loop.advance(2_000);
            assertThat(dispatcher.view("j")).isEqualTo(JobView.UNKNOWN);
        }

        @Test
        void areNotToldThatAJobDoesNotRunWhileOthersWaitForIt() {
            log.onAppend(MemoryKeyedLog.Fault.REFUSED);
            CompletableFuture<Void> first = dispatcher.submit(job, WAIT_MILLIS);
            loop.advance(100);
            CompletableFuture<Void> second = dispatcher.submit(job, 10 * WAIT_MILLIS);
            loop.advance(WAIT_MILLIS - 50);
            assertThat(failure(first)).isEqualTo(FailureType.LOG_UNDECIDED);

            log.onAppend(MemoryKeyedLog.Fault.NONE);
            loop.advance(1_000);

            assertThat(second).isCompleted();
        }
    }

    @Nested
    class LogThatWasDown {
        /** Guards against incident 21: callers were refused after the log had come back. */
        @Test
        void isAskedAgainWhenAJobIsRefused() {
            log.onAppend(MemoryKeyedLog.Fault.REFUSED);
            log.onRead(MemoryKeyedLog.Fault.REFUSED);
            dispatcher.submit(JobSamples.single("first"), WAIT_MILLIS);
            loop.advance(5_000);
            log.onAppend(MemoryKeyedLog.Fault.NONE);
            log.onRead(MemoryKeyedLog.Fault.NONE);

            CompletableFuture<Void> refused =
                    dispatcher.submit(JobSamples.single("j"), WAIT_MILLIS);
            loop.advance(0);
            assertThat(failure(refused)).isEqualTo(FailureType.LOG_UNAVAILABLE);
            CompletableFuture<Void> repeat = dispatcher.submit(JobSamples.single("j"), WAIT_MILLIS);
            loop.advance(0);

            assertThat(repeat).isCompleted();
        }

        /** Guards against incident 21: jobs waited for a pause after the log had come back. */
        @Test
        void isWrittenToAsSoonAsItAnswers() {
            log.onAppend(MemoryKeyedLog.Fault.REFUSED);
            log.onRead(MemoryKeyedLog.Fault.REFUSED);
            dispatcher.submit(JobSamples.single("first"), 20 * WAIT_MILLIS);
            for (int i = 0; i < 20; i++) {
                loop.advance(WAIT_MILLIS / 2);
                log.onAppend(MemoryKeyedLog.Fault.NONE);
                log.onRead(MemoryKeyedLog.Fault.NONE);
                String id = "job-" + i;
                dispatcher.submit(JobSamples.single(id), WAIT_MILLIS);
                loop.advance(0);

                CompletableFuture<Void> repeat =
                        dispatcher.submit(JobSamples.single(id), WAIT_MILLIS);
                loop.advance(0);

                assertThat(repeat).as(id).isCompleted();
                log.onAppend(MemoryKeyedLog.Fault.REFUSED);
                log.onRead(MemoryKeyedLog.Fault.REFUSED);
                dispatcher.submit(JobSamples.single("next-" + i), 20 * WAIT_MILLIS);
                loop.advance(2 * WAIT_MILLIS);
            }
        }
    }
}
