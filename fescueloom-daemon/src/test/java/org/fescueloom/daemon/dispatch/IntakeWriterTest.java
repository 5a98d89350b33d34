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
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
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

    /** Maximum time for which a test waits for a call. */
    private static final long TEST_SECONDS = 20;

    /** Approximate size of a step in an encoded request: 200 bytes. */
    private static final int STEP_BYTES = 200;

    /** A wait time that is too short for the caller to repeat the call. */
    private static final long SHORT_WAIT_MILLIS = 250;

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final CountingLog countingLog = new CountingLog();
    private final HttpServer server = new HttpServer("127.0.0.1", 0, 1_000_000);
    private final HttpClient http = new HttpClient(8, Duration.ofSeconds(1));
    private final ScheduledExecutorService loop = Timers.singleThread("test");
    private final AtomicInteger peerCalls = new AtomicInteger();
    private volatile List<String> peers = List.of();
    private volatile Connectivity connectivity = Connectivity.SERVED;
    private volatile boolean logFailing;
    private volatile boolean jobStored;
    private volatile boolean dispatcherAlive = true;
    private final Metrics metrics = new Metrics();
    private final LogServiceContact clocks = LogServiceContact.withSystemClocks();
    private final IntakeWriter writer =
            new IntakeWriter(
                    IntakePartitions.create(
                            new LogAccess(countingLog, 1), "entry", loop, clocks, metrics),
                    http,
                    new EntryState(
                            () -> logFailing,
                            () -> connectivity,
                            () -> peers,
                            job -> jobStored,
                            () -> dispatcherAlive),
                    loop,
                    clocks,
                    metrics);
    private final IntakeRequest request = IntakeRequest.of(JobSamples.singleTask("j"));

    /**
     * Counts appends, and leaves as many of the first ones without a response as the test
     * specifies.
     */
    private final class CountingLog implements KeyedLog {
        private final AtomicInteger appends = new AtomicInteger();
        private final List<CompletableFuture<AppendOutcome>> heldResponses = new ArrayList<>();

        /**
         * The number of appends, counted from the first, that get no response; {@code
         * Integer.MAX_VALUE} for all.
         */
        private volatile int appendsWithoutResponse;

        @Override
        public synchronized CompletableFuture<AppendOutcome> append(
                LogPartition partition,
                List<KeyedRecord> records,
                long expectedEnd,
                Duration timeout) {
            if (appends.incrementAndGet() <= appendsWithoutResponse) {
                CompletableFuture<AppendOutcome> heldResponse = new CompletableFuture<>();
                heldResponses.add(heldResponse);
                return heldResponse;
            }
            return log.append(partition, records, expectedEnd, timeout);
        }

        @Override
        public CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey) {
            return log.newest(partition, afterKey);
        }

        @Override
        public CompletableFuture<KeyedSlice> read(
                LogPartition partition, long from, Duration wait) {
            return log.read(partition, from, wait);
        }
    }

    /** Returns the response to a call to the peer; the calls are numbered from 1. */
    private interface Reply {
        CompletableFuture<HttpServerResponse> to(int call);
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

    private static CompletableFuture<HttpServerResponse> failedReply(FailureType type) {
        return CompletableFuture.failedFuture(new SchedulerException(type, "injected by the test"));
    }

    private static CompletableFuture<HttpServerResponse> storedReply() {
        return CompletableFuture.completedFuture(HttpServerResponse.json(List.of()));
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
        return log.records(IntakeRequest.partition(0)).stream().map(KeyedRecord::key).toList();
    }

    @Nested
    class Requests {
        @Test
        void areStoredBeforeTheCallCompletes() {
            CompletableFuture<Void> call = writer.store(request, WAIT_MILLIS);

            await(call.thenRun(() -> assertThat(keysStored()).containsExactly(request.key())));
            assertThat(peerCalls.get()).isZero();
        }

        @Test
        void ofConcurrentCallersAreAllStored() {
            List<CompletableFuture<Void>> calls = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                IntakeRequest next = IntakeRequest.of(JobSamples.singleTask("job-" + i));
                calls.add(writer.store(next, WAIT_MILLIS));
            }

            calls.forEach(IntakeWriterTest::await);
            assertThat(keysStored()).hasSize(200).doesNotHaveDuplicates();
        }

        @Test
        void areNotAppendedIfTheJobIsAlreadyStored() {
            jobStored = true;

            await(writer.store(request, WAIT_MILLIS));

            assertThat(keysStored()).isEmpty();
        }

        @Test
        void areRefusedAboveTheByteLimitWhileThereIsNoDispatcher() {
            dispatcherAlive = false;
            List<FailureType> failures = new ArrayList<>();
            for (int i = 0; i < 40 && failures.isEmpty(); i++) {
                WorkSpec work = JobSamples.singleTask("j").work();
                WorkSpec large = new WorkSpec(work.payload(), repeatSteps(work, 100_000), 0, 0, 1);
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
            dispatcherAlive = true;
            await(writer.store(request, WAIT_MILLIS));
        }

        @Test
        void thatAreTooLargeAreRefusedAtOnce() {
            WorkSpec work = JobSamples.singleTask("j").work();
            WorkSpec huge =
                    new WorkSpec(
                            work.payload(),
                            repeatSteps(work, IntakeWriter.MAX_REQUEST_BYTES),
                            0,
                            0,
                            1);
            Submission large = new Submission("j", "queue", "c", "service", 0, huge);

            assertThat(failure(writer.store(IntakeRequest.of(large), WAIT_MILLIS)))
                    .isEqualTo(FailureType.BODY_TOO_LARGE);
            assertThat(keysStored()).isEmpty();
        }

        /** Repeats the steps of a work spec up to an approximate size of the encoded request. */
        private List<StepSpec> repeatSteps(WorkSpec work, int bytes) {
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
        void isReachedThroughAPeer() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> storedReply());

            await(writer.store(request, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void isReachedThroughTheNextPeerIfOneIsOverloaded() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> call == 1 ? failedReply(FailureType.OVERLOADED) : storedReply());
            peers = List.of(peers.get(0), peers.get(0));

            await(writer.store(request, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(2);
        }

        @Test
        void isReachedThroughTheNextPeerIfOneRefusesTheConnection() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> storedReply());
            peers = List.of("127.0.0.1:1", peers.get(0));

            await(writer.store(request, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void isNotReachedThroughAnotherPeerOnBehalfOfAPeer() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> storedReply());

            assertThat(failure(writer.storeForPeer(request, WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(peerCalls.get()).isZero();
        }

        @Test
        void isNotTriedThroughFurtherPeersAfterAClientError() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> failedReply(FailureType.INVALID_FIELD));

            assertThat(failure(writer.store(request, WAIT_MILLIS)))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(peerCalls.get()).isEqualTo(1);
        }
    }

    @Nested
    class LogThatRefusesAllEntries {
        /** Guards against incident 21: retries ended although the caller still waited. */
        @Test
        void isRetriedIfTheCallerHasTooLittleTimeToRepeatTheCall() {
            connectivity = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            CompletableFuture<Void> call = writer.store(request, SHORT_WAIT_MILLIS);
            loop.schedule(
                    () -> log.setAppendFault(MemoryKeyedLog.Fault.NONE),
                    100,
                    TimeUnit.MILLISECONDS);

            await(call);
        }

        @Test
        void isRetriedNoLongerThanTheCallerWaits() {
            connectivity = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(request, SHORT_WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            // One append every 40 ms.
            assertThat(countingLog.appends.get()).isBetween(2, 6);
        }

        /**
         * Guards against incident 21: a last attempt without time for its response had an unknown
         * outcome.
         */
        @Test
        void isNotRetriedWithoutTimeForAResponse() {
            connectivity = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(request, 70))).isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(countingLog.appends.get()).isEqualTo(1);
        }

        @Test
        void failsCallsOfCallersThatCanRepeatThem() {
            connectivity = Connectivity.LOG_DOWN;
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> failedReply(FailureType.LOG_UNAVAILABLE));
            long before = System.nanoTime();

            CompletableFuture<Void> call = writer.store(request, WAIT_MILLIS);

            assertThat(failure(call)).isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(countingLog.appends.get()).isEqualTo(1);
            assertThat(peerCalls.get()).isZero();
            assertThat(Duration.ofNanos(System.nanoTime() - before))
                    .isLessThan(Duration.ofMillis(WAIT_MILLIS));
            assertThat(keysStored()).isEmpty();
        }

        /**
         * Guards against incident 24: the first call that failed in an outage took more than a
         * second.
         */
        @Test
        void isDetectedByOneRefusalOfEachEntry() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> failedReply(FailureType.LOG_UNAVAILABLE));

            assertThat(failure(writer.store(request, WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(countingLog.appends.get()).isEqualTo(1);
            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void acceptsRequestsWithTheFirstCallAfterItRecovers() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            logFailing = true;
            failure(writer.store(request, WAIT_MILLIS));
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            log.setReadFault(MemoryKeyedLog.Fault.NONE);

            await(writer.store(request, WAIT_MILLIS));
            assertThat(countingLog.appends.get()).isEqualTo(1);
        }

        @Test
        void receivesNoAppendUntilItRespondsToARead() {
            logFailing = true;
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(request, WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(countingLog.appends.get()).isZero();
        }
    }

    @Nested
    class AppendsWithoutAResponse {
        @Test
        void areRepeated() {
            countingLog.appendsWithoutResponse = 1;

            await(writer.store(request, WAIT_MILLIS));

            assertThat(countingLog.appends.get()).isEqualTo(2);
            assertThat(keysStored()).containsExactly(request.key());
        }

        @Test
        void succeedIfTheResponseComesLate() {
            countingLog.appendsWithoutResponse = Integer.MAX_VALUE;
            CompletableFuture<Void> call = writer.store(request, WAIT_MILLIS);
            loop.schedule(
                    () -> countingLog.heldResponses.get(0).complete(new AppendOutcome(true, 1)),
                    WAIT_MILLIS / 2,
                    TimeUnit.MILLISECONDS);

            await(call);
        }

        @Test
        void areRepeatedThroughAPeer() {
            countingLog.appendsWithoutResponse = Integer.MAX_VALUE;
            servePeer(call -> storedReply());

            await(writer.store(request, WAIT_MILLIS));

            assertThat(peerCalls.get()).isEqualTo(1);
        }

        @Test
        void failWithOutcomeUnknown() {
            log.setAppendFault(MemoryKeyedLog.Fault.DELAYED);
            CompletableFuture<Void> call = writer.store(request, 800);
            loop.schedule(
                    () -> log.setAppendFault(MemoryKeyedLog.Fault.REFUSED),
                    50,
                    TimeUnit.MILLISECONDS);

            assertThat(failure(call).outcome()).isEqualTo(Outcome.UNKNOWN);
            log.runDelayedAppends();
            assertThat(keysStored()).isNotEmpty();
        }

        /**
         * Guards against incident 24: a repeated call failed with "not run", but its job ran later.
         */
        @Test
        void makeRepeatedCallsFailWithOutcomeUnknown() {
            log.setAppendFault(MemoryKeyedLog.Fault.DELAYED);
            assertThat(failure(writer.store(request, 300)).outcome()).isEqualTo(Outcome.UNKNOWN);
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(writer.store(request, 300)).outcome()).isEqualTo(Outcome.UNKNOWN);

            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            await(writer.store(request, WAIT_MILLIS));
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            assertThat(failure(writer.store(request, 300)).outcome()).isEqualTo(Outcome.NOT_RUN);
        }

        @Test
        void ofAPeerFailWithOutcomeUnknown() {
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            servePeer(call -> new CompletableFuture<>());

            assertThat(failure(writer.store(request, 1_300)).outcome()).isEqualTo(Outcome.UNKNOWN);
        }

        @Test
        void thatWereNeverSentFailWithNotRun() {
            countingLog.appendsWithoutResponse = Integer.MAX_VALUE;
            // Occupies all concurrent calls, so that the record of the request is not sent.
            for (int i = 0; i < 100; i++) {
                writer.store(
                        IntakeRequest.of(JobSamples.singleTask("before-" + i)), 10 * WAIT_MILLIS);
            }

            FailureType type = failure(writer.store(request, 300));

            assertThat(type.outcome()).isEqualTo(Outcome.NOT_RUN);
            countingLog.appendsWithoutResponse = 0;
            countingLog.heldResponses.forEach(held -> held.complete(new AppendOutcome(true, 1)));
            assertThat(keysStored()).doesNotContain(request.key());
        }
    }

    @Nested
    class Callers {
        @Test
        void withoutTimeLeftGetDeadlinePassed() {
            assertThat(failure(writer.store(request, 0))).isEqualTo(FailureType.DEADLINE_PASSED);
            assertThat(keysStored()).isEmpty();
        }

        /**
         * Guards against incident 18: a cut-off entry responded to calls only at their deadline.
         */
        @Test
        void ofACutOffEntryAreRefusedAtOnce() {
            connectivity = Connectivity.CUT_OFF;

            assertThat(failure(writer.store(request, WAIT_MILLIS))).isEqualTo(FailureType.CUT_OFF);
            assertThat(countingLog.appends.get()).isZero();
        }

        /**
         * Guards against incident 18: a cut-off entry responded to calls only at their deadline.
         */
        @Test
        void getOutcomeUnknownIfTheEntryIsCutOffAfterAnAppend() {
            countingLog.appendsWithoutResponse = Integer.MAX_VALUE;
            CompletableFuture<Void> call = writer.store(request, TEST_SECONDS * 1_000);
            loop.schedule(() -> connectivity = Connectivity.CUT_OFF, 100, TimeUnit.MILLISECONDS);

            assertThat(failure(call)).isEqualTo(FailureType.OUTCOME_UNKNOWN);
        }
    }

    /** The log service takes shorter records than those of known deployments. */
    @Nested
    class RequestsThatAreRefusedForGood {
        // Guards against the class of the review's case 1: a submission that is too long was
        // repeated until its deadline, and failed all others of its batch.
        @Test
        void failAtOnceAndAlone() {
            IntakeRequest wide = IntakeRequest.of(JobSamples.job("wide", 1, 1_000, false, true));
            IntakeRequest large =
                    IntakeRequest.of(
                            new Submission(
                                    "large",
                                    "q".repeat(2_000),
                                    "customer",
                                    "service",
                                    0,
                                    wide.submission().work()));
            log.limitRecords(2_000);
            countingLog.appendsWithoutResponse = 8;
            List<CompletableFuture<Void>> held = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                held.add(
                        writer.store(
                                IntakeRequest.of(JobSamples.singleTask("h" + i)), WAIT_MILLIS));
            }
            CompletableFuture<Void> refused = writer.store(large, WAIT_MILLIS);
            CompletableFuture<Void> stored = writer.store(wide, WAIT_MILLIS);
            loop.schedule(
                    () ->
                            countingLog.heldResponses.forEach(
                                    r -> r.complete(new AppendOutcome(true, 1))),
                    50,
                    TimeUnit.MILLISECONDS);

            await(stored);
            assertThat(failure(refused)).isEqualTo(FailureType.LOG_REFUSED);
            held.forEach(IntakeWriterTest::await);
        }
    }
}
