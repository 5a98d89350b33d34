package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IntakeWriterTest {
    private static final long WAIT_MILLIS = 2_500;
    private static final long TEST_SECONDS = 20;

    /** A step has some 200 bytes in its record. */
    private static final int STEP_BYTES = 200;

    /** Too little for a caller to come back. */
    private static final long LITTLE_MILLIS = 250;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final CountingLog counted = new CountingLog();
    private final HttpServer server = new HttpServer("127.0.0.1", 0, 1_000_000);
    private final HttpClient http = new HttpClient(8, Duration.ofSeconds(1));
    private final ScheduledExecutorService loop = Timers.singleThread("test");
    private final AtomicInteger peerCalls = new AtomicInteger();
    private volatile List<String> peers = List.of();
    private volatile Connectivity reach = Connectivity.SERVED;
    private volatile boolean logFails;
    private volatile boolean known;
    private volatile boolean dispatched = true;
    private final IntakeWriter writer =
            new IntakeWriter(
                    counted,
                    http,
                    new IntakeWriter.EntryState(
                            () -> logFails,
                            () -> reach,
                            () -> peers,
                            job -> known,
                            () -> dispatched),
                    loop,
                    LogServiceContact.withSystemClocks(),
                    new Metrics());
    private final IntakeRequest item = IntakeRequest.of(JobSamples.singleTask("j"));

    /** Counts appends, and leaves as many as the test says without an answer. */
    private final class CountingLog implements KeyedLog {
        private final AtomicInteger appends = new AtomicInteger();
        private final List<CompletableFuture<AppendOutcome>> held = new ArrayList<>();
        private volatile int holdFirst;

        @Override
        public synchronized CompletableFuture<AppendOutcome> append(
                String topic, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
            if (appends.incrementAndGet() <= holdFirst) {
                CompletableFuture<AppendOutcome> answer = new CompletableFuture<>();
                held.add(answer);
                return answer;
            }
            return log.append(topic, records, expectedEnd, timeout);
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

    private interface Reply {
        CompletableFuture<HttpReply> to(int call);
    }

    private void servePeer(Reply reply) {
        for (String method : List.of("POST", "DELETE")) {
            server.route(method, "/*", call -> reply.to(peerCalls.incrementAndGet()));
        }
        server.start();
        peers = List.of("127.0.0.1:" + server.port());
    }

    @AfterEach
    void close() {
        server.close();
        http.close();
        loop.shutdown();
    }

    private static CompletableFuture<HttpReply> refused(FailureType type) {
        return CompletableFuture.failedFuture(new SchedulerException(type, "by the test"));
    }

    private static CompletableFuture<HttpReply> stored() {
        return CompletableFuture.completedFuture(HttpReply.json(List.of()));
    }

    private static void await(CompletableFuture<?> call) {
        call.orTimeout(TEST_SECONDS, TimeUnit.SECONDS).join();
    }

    private static FailureType failure(CompletableFuture<?> call) {
        return call.handle((value, error) -> Failures.typeOf(error))
                .orTimeout(TEST_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private List<String> keysStored() {
        return log.records(IntakeRequest.TOPIC).stream().map(KeyedRecord::key).toList();
    }

    @Nested
    class Items {
        @Test
        void areStoredBeforeTheirCallerIsAnswered() {
            CompletableFuture<Void> call = writer.store(item, WAIT_MILLIS);

            await(call.thenRun(() -> assertThat(keysStored()).containsExactly(item.key())));
            assertThat(peerCalls.get()).isZero();
        }

        @Test
        void ofCallersAtTheSameTimeAreAllStored() {
            List<CompletableFuture<Void>> calls = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                IntakeRequest next = IntakeRequest.of(JobSamples.singleTask("job-" + i));
                calls.add(writer.store(next, WAIT_MILLIS));
            }

            calls.forEach(IntakeWriterTest::await);
            assertThat(keysStored()).hasSize(200).doesNotHaveDuplicates();
        }

        @Test
        void areNotStoredAgainOnceTheyAreKnown() {
            known = true;

            await(writer.store(item, WAIT_MILLIS));

            assertThat(keysStored()).isEmpty();
        }

        @Test
        void waitForADispatcherUpToABound() {
            dispatched = false;
            List<FailureType> failures = new ArrayList<>();
            for (int i = 0; i < 40 && failures.isEmpty(); i++) {
                WorkSpec work = JobSamples.singleTask("j").work();
                WorkSpec large = new WorkSpec(work.payload(), many(work, 100_000), 0, 0, 1);
                writer.store(
                                IntakeRequest.of(
                                        new Submission("j" + i, "queue", "c", "service", 0, large)),
                                WAIT_MILLIS)
                        .exceptionally(
                                error -> {
                                    failures.add(Failures.typeOf(error));
                                    return null;
                                })
                        .orTimeout(TEST_SECONDS, TimeUnit.SECONDS)
                        .join();
            }

            assertThat(failures).containsOnly(FailureType.OVERLOADED);
            dispatched = true;
            await(writer.store(item, WAIT_MILLIS));
        }

        @Test
        void thatTheLogCannotHoldAreRefusedAtOnce() {
            WorkSpec work = JobSamples.singleTask("j").work();
            WorkSpec huge =
                    new WorkSpec(
                            work.payload(), many(work, IntakeWriter.MAX_REQUEST_BYTES), 0, 0, 1);
            Submission large = new Submission("j", "queue", "c", "service", 0, huge);

            assertThat(failure(writer.store(IntakeRequest.of(large), WAIT_MILLIS)))
                    .isEqualTo(FailureType.BODY_TOO_LARGE);
            assertThat(keysStored()).isEmpty();
        }

        private List<StepSpec> many(WorkSpec work, int bytes) {
            List<StepSpec> steps = new ArrayList<>();
            int each = JobSamples.singleTask("j").work().steps().size() * STEP_BYTES;
            while (steps.size() * each < bytes) {
                steps.addAll(work.steps());
            }
            return steps;
        }
    }

    @Nested
    class LogThatRefusesThisEntry {
        @Test
        void isReachedThroughAnother() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> stored());

            await(writer.store(item, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void isReachedThroughTheNextIfOneIsOverloaded() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> call == 1 ? refused(FailureType.OVERLOADED) : stored());
            peers = List.of(peers.get(0), peers.get(0));

            await(writer.store(item, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(2);
        }

        @Test
        void isReachedThroughTheNextIfOneIsGone() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> stored());
            peers = List.of("127.0.0.1:1", peers.get(0));

            await(writer.store(item, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void isNotReachedThroughAnotherForAnother() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> stored());

            assertThat(failure(writer.storeForPeer(item, WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(peerCalls.get()).isZero();
        }

        @Test
        void ofRefusalsThatNobodyElseCanMendTellsAtOnce() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> refused(FailureType.INVALID_FIELD));

            assertThat(failure(writer.store(item, WAIT_MILLIS)))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(peerCalls.get()).isEqualTo(1);
        }
    }

    @Nested
    class LogThatIsDownForAll {
        /** Guards against incident 21: the tries of a caller were over before its time was. */
        @Test
        void isWaitedForIfTheCallerCannotComeBackInTime() {
            reach = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            CompletableFuture<Void> call = writer.store(item, LITTLE_MILLIS);
            loop.schedule(
                    () -> log.setAppendFault(MemoryKeyedLog.Fault.NONE),
                    100,
                    TimeUnit.MILLISECONDS);

            await(call);
        }

        @Test
        void isWaitedForNoLongerThanTheCallerWaits() {
            reach = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(item, LITTLE_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            // One try each 40 ms.
            assertThat(counted.appends.get()).isBetween(2, 6);
        }

        /** Guards against incident 21: a last try without time for an answer was undecided. */
        @Test
        void isNotAskedWithoutTimeForAnAnswer() {
            reach = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(item, 70))).isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(counted.appends.get()).isEqualTo(1);
        }

        @Test
        void makesOtherCallersComeBack() {
            reach = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> refused(FailureType.LOG_UNAVAILABLE));
            long before = System.nanoTime();

            CompletableFuture<Void> call = writer.store(item, WAIT_MILLIS);

            assertThat(failure(call)).isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(counted.appends.get()).isEqualTo(1);
            assertThat(peerCalls.get()).isZero();
            assertThat(Duration.ofNanos(System.nanoTime() - before))
                    .isLessThan(Duration.ofMillis(WAIT_MILLIS));
            assertThat(keysStored()).isEmpty();
        }

        /** Guards against incident 24: the first refusal of an outage took more than a second. */
        @Test
        void isKnownToBeFromOneRefusalOfEachEntry() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> refused(FailureType.LOG_UNAVAILABLE));

            assertThat(failure(writer.store(item, WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(counted.appends.get()).isEqualTo(1);
            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void takesJobsAgainWithTheFirstCallThatItAnswers() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            logFails = true;
            failure(writer.store(item, WAIT_MILLIS));
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            log.setReadFault(MemoryKeyedLog.Fault.NONE);

            await(writer.store(item, WAIT_MILLIS));
            assertThat(counted.appends.get()).isEqualTo(1);
        }

        @Test
        void isSentNothingThatMayStayUndecided() {
            logFails = true;
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(item, WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(counted.appends.get()).isZero();
        }
    }

    @Nested
    class AppendsWithoutAnAnswer {
        @Test
        void areRepeated() {
            counted.holdFirst = 1;

            await(writer.store(item, WAIT_MILLIS));

            assertThat(counted.appends.get()).isEqualTo(2);
            assertThat(keysStored()).containsExactly(item.key());
        }

        @Test
        void areAnsweredWhenTheAnswerComesLate() {
            counted.holdFirst = Integer.MAX_VALUE;
            CompletableFuture<Void> call = writer.store(item, WAIT_MILLIS);
            loop.schedule(
                    () -> counted.held.get(0).complete(new AppendOutcome(true, 1)),
                    WAIT_MILLIS / 2,
                    TimeUnit.MILLISECONDS);

            await(call);
        }

        @Test
        void goThroughAnotherEntry() {
            counted.holdFirst = Integer.MAX_VALUE;
            servePeer(call -> stored());

            await(writer.store(item, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void areNeverSaidNotToHaveRun() {
            log.setAppendFault(MemoryKeyedLog.Fault.DELAYED);
            CompletableFuture<Void> call = writer.store(item, 800);
            loop.schedule(
                    () -> log.setAppendFault(MemoryKeyedLog.Fault.REFUSED),
                    50,
                    TimeUnit.MILLISECONDS);

            assertThat(failure(call).outcome()).isEqualTo(Outcome.UNKNOWN);
            log.runDelayedAppends();
            assertThat(keysStored()).isNotEmpty();
        }

        /** Guards against incident 24: a repeat was told "not run" of a job that ran later. */
        @Test
        void areNotSaidNotToHaveRunToARepeat() {
            log.setAppendFault(MemoryKeyedLog.Fault.DELAYED);
            assertThat(failure(writer.store(item, 300)).outcome()).isEqualTo(Outcome.UNKNOWN);
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(item, 300)).outcome()).isEqualTo(Outcome.UNKNOWN);

            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            await(writer.store(item, WAIT_MILLIS));
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            assertThat(failure(writer.store(item, 300)).outcome()).isEqualTo(Outcome.NOT_RUN);
        }

        @Test
        void ofAnotherEntryAreNeverSaidNotToHaveRun() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> new CompletableFuture<>());

            assertThat(failure(writer.store(item, 1_300)).outcome()).isEqualTo(Outcome.UNKNOWN);
        }

        @Test
        void thatWereNotEvenSentNeverRun() {
            counted.holdFirst = Integer.MAX_VALUE;
            for (int i = 0; i < 100; i++) {
                writer.store(
                        IntakeRequest.of(JobSamples.singleTask("before-" + i)), 10 * WAIT_MILLIS);
            }

            FailureType type = failure(writer.store(item, 300));

            assertThat(type.outcome()).isEqualTo(Outcome.NOT_RUN);
            counted.holdFirst = 0;
            counted.held.forEach(held -> held.complete(new AppendOutcome(true, 1)));
            assertThat(keysStored()).doesNotContain(item.key());
        }
    }

    @Nested
    class Callers {
        @Test
        void whoseTimeIsOverAreTold() {
            assertThat(failure(writer.store(item, 0))).isEqualTo(FailureType.DEADLINE_PASSED);
            assertThat(keysStored()).isEmpty();
        }

        /** Guards against incident 18: calls at an entry that was cut off took all their time. */
        @Test
        void ofAnEntryThatIsCutOffAreToldAtOnce() {
            reach = Connectivity.CUT_OFF;

            assertThat(failure(writer.store(item, WAIT_MILLIS))).isEqualTo(FailureType.CUT_OFF);
            assertThat(counted.appends.get()).isZero();
        }

        /** Guards against incident 18: calls at an entry that was cut off took all their time. */
        @Test
        void areNotPromisedAnythingOnceAnEntryIsCutOffAfterATry() {
            counted.holdFirst = Integer.MAX_VALUE;
            CompletableFuture<Void> call = writer.store(item, TEST_SECONDS * 1_000);
            loop.schedule(() -> reach = Connectivity.CUT_OFF, 100, TimeUnit.MILLISECONDS);

            assertThat(failure(call)).isEqualTo(FailureType.OUTCOME_UNKNOWN);
        }
    }
}
