package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobIntakeTest {
    private static final long ENDED_JOB_RETENTION_MILLIS = 60_000;
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, ENDED_JOB_RETENTION_MILLIS, 1_000);

    /** Longer than the minimum time between two removals, which is 5 s. */
    private static final long REMOVAL_WAIT_MILLIS = 6_000;

    private static final QueuePolicy QUEUE =
            new QueuePolicy("queue", "host", "/q/", "service", 1, 2, 3.0, 1_000, false, false);
    private static final FleetView FLEET =
            new FleetView(new FleetConfiguration(1, List.of(QUEUE), List.of()), Set.of(), 0);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ControlledLog controlledLog = new ControlledLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final Submission job = JobSamples.singleTask("j");
    private boolean replaced;

    /** Refuses appends to one log, or withholds their responses until the test releases them. */
    private final class ControlledLog implements KeyedLog {
        private final List<Runnable> heldResponses = new ArrayList<>();
        private LogPartition heldPartition;
        private LogPartition refusedPartition;

        void refuseAppends(LogPartition partition) {
            refusedPartition = partition;
        }

        void holdResponses(LogPartition partition) {
            heldPartition = partition;
        }

        void releaseResponses() {
            heldPartition = null;
            heldResponses.forEach(Runnable::run);
        }

        @Override
        public CompletableFuture<AppendOutcome> append(
                LogPartition partition,
                List<KeyedRecord> records,
                long expectedEnd,
                Duration timeout) {
            if (partition.equals(refusedPartition)) {
                return CompletableFuture.failedFuture(
                        new SchedulerException(
                                FailureType.LOG_UNAVAILABLE, "injected by the test"));
            }
            CompletableFuture<AppendOutcome> outcome =
                    log.append(partition, records, expectedEnd, timeout);
            if (!partition.equals(heldPartition)) {
                return outcome;
            }
            CompletableFuture<AppendOutcome> heldResponse = new CompletableFuture<>();
            heldResponses.add(() -> outcome.thenAccept(heldResponse::complete));
            return heldResponse;
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

    private Dispatcher claimAndStart() {
        ClaimAttempt attempt =
                new ClaimAttempt(
                        controlledLog, new DispatchClaim("here", "p"), loop.logServiceContact());
        int end = log.records(JobStore.LOG).size();
        Dispatcher dispatcher =
                new Dispatcher(
                        ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join())
                                .initialState(),
                        TIMINGS,
                        new LogAccess(controlledLog, 1),
                        loop,
                        loop.logServiceContact(),
                        () -> FLEET,
                        () -> List.of("here"),
                        new Metrics(),
                        () -> replaced = true);
        dispatcher.start();
        return dispatcher;
    }

    private void store(KeyedRecord keyedRecord) {
        log.append(
                        IntakeRequest.partition(0),
                        List.of(keyedRecord),
                        KeyedLog.ANY_END,
                        Duration.ZERO)
                .join();
    }

    private void store(IntakeRequest request) {
        store(request.toRecord());
    }

    private void cancel(String id) {
        store(IntakeRequest.cancellation(id));
    }

    /** Starts a query for the state of a job, and runs the tasks of the event loop that are due. */
    private CompletableFuture<JobStatus> query(Dispatcher dispatcher, String id) {
        CompletableFuture<JobStatus> status = dispatcher.status(id);
        loop.advance(0);
        return status;
    }

    private JobStatus queryStatus(Dispatcher dispatcher, String id) {
        CompletableFuture<JobStatus> status = query(dispatcher, id);
        assertThat(status).isCompleted();
        return status.join();
    }

    private static FailureType failure(CompletableFuture<JobStatus> status) {
        assertThat(status).isCompletedExceptionally();
        return status.handle((v, e) -> Failures.typeOf(e)).join();
    }

    private List<String> newestKeys(LogPartition partition) {
        return log.newest(partition, "").join().records().stream().map(KeyedRecord::key).toList();
    }

    private Submission submissionOfCustomer(String customer) {
        Submission sample = JobSamples.job("j", 3, 1_000, false, true);
        return new Submission("j", "queue", customer, "service", 0, sample.work());
    }

    @Nested
    class StoredSubmissions {
        /**
         * Guards against incident 24: a job was lost when the entry that had to accept it failed.
         */
        @Test
        void areAdmittedByTheNextDispatcher() {
            store(IntakeRequest.of(job));
            FakeAgent agent = new FakeAgent("a", loop);

            Dispatcher dispatcher = claimAndStart();

            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
            agent.exchange(dispatcher);
            assertThat(agent.running).hasSize(1);
        }

        @Test
        void startWithoutAnyQuery() {
            Dispatcher dispatcher = claimAndStart();
            FakeAgent agent = new FakeAgent("a", loop);
            agent.exchange(dispatcher);

            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
        }

        @Test
        void areAdmittedOnceHoweverOftenTheyAreStored() {
            Dispatcher dispatcher = claimAndStart();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
            assertThat(log.records(JobStore.LOG))
                    .filteredOn(r -> r.key().equals(JobStore.submissionKey("j")))
                    .hasSize(1);
        }

        @Test
        void doNotReplaceASubmissionAdmittedBefore() {
            claimAndStart();
            store(IntakeRequest.of(job));
            loop.advance(100);
            store(IntakeRequest.of(submissionOfCustomer("someone else")));
            loop.advance(100);

            JobStore.StoredState stored = JobStore.load(log).join();

            assertThat(stored.jobs().get("j").submission().customer()).isEqualTo(job.customer());
            claimAndStart();
            loop.advance(100);
            stored = JobStore.load(log).join();
            assertThat(stored.jobs().get("j").submission().customer()).isEqualTo(job.customer());
        }

        /** Guards against incident 24: a second job with the same ID replaced the first one. */
        @Test
        void areAdmittedEarliestFirstIfThereWasNoDispatcher() {
            store(IntakeRequest.of(job));
            Submission later =
                    new Submission("j", "queue", "someone else", "service", 1, job.work());
            store(IntakeRequest.of(later));

            claimAndStart();
            loop.advance(100);

            JobStore.StoredState stored = JobStore.load(log).join();
            assertThat(stored.jobs().get("j").submission().customer()).isEqualTo(job.customer());
            loop.advance(REMOVAL_WAIT_MILLIS);
            assertThat(newestKeys(IntakeRequest.partition(0))).isEmpty();
        }

        /**
         * Guards against incident 24: a submission repeated during the removal of its record was
         * run again later.
         */
        @Test
        void areRemovedAgainIfStoredDuringARemoval() {
            Dispatcher dispatcher = claimAndStart();
            store(IntakeRequest.of(job));
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            loop.advance(REMOVAL_WAIT_MILLIS - 1_000);
            controlledLog.holdResponses(IntakeRequest.partition(0));
            loop.advance(1_500);
            store(IntakeRequest.of(job));
            loop.advance(100);
            controlledLog.releaseResponses();
            loop.advance(2 * REMOVAL_WAIT_MILLIS);

            assertThat(newestKeys(IntakeRequest.partition(0))).isEmpty();
            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
        }

        @Test
        void stayInTheIntakeLogUntilTheyAreInTheJobLog() {
            Dispatcher first = claimAndStart();
            loop.advance(100);
            store(IntakeRequest.of(job));
            controlledLog.refuseAppends(JobStore.LOG);
            loop.advance(2 * REMOVAL_WAIT_MILLIS);
            assertThat(queryStatus(first, "j")).isEqualTo(JobStatus.QUEUED);
            controlledLog.refuseAppends(null);
            first.close();

            assertThat(newestKeys(IntakeRequest.partition(0)))
                    .containsExactly(IntakeRequest.of(job).key());
            assertThat(queryStatus(claimAndStart(), "j")).isEqualTo(JobStatus.QUEUED);
        }

        @Test
        void areRemovedOnceAdmitted() {
            Dispatcher dispatcher = claimAndStart();
            store(IntakeRequest.of(job));
            cancel("j");
            loop.advance(REMOVAL_WAIT_MILLIS);

            assertThat(newestKeys(IntakeRequest.partition(0))).isEmpty();
            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
            assertThat(queryStatus(claimAndStart(), "j")).isEqualTo(JobStatus.CANCELLED);
        }

        /** Checks that no later dispatcher runs a job again that has ended. */
        @Test
        void areRemovedBeforeTheirJobIsForgotten() {
            Dispatcher dispatcher = claimAndStart();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);
            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
            store(IntakeRequest.of(job));
            for (int i = 0; i < ENDED_JOB_RETENTION_MILLIS / 1_000 + 10; i++) {
                agent.exchange(dispatcher);
            }

            assertThat(newestKeys(IntakeRequest.partition(0))).isEmpty();
            claimAndStart();
            agent.exchange(dispatcher);
            assertThat(agent.running).isEmpty();
        }
    }

    @Nested
    class Cancellations {
        @Test
        void endRunningJobs() {
            Dispatcher dispatcher = claimAndStart();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            cancel("j");
            AgentOrders orders = agent.exchange(dispatcher);

            assertThat(orders.stops()).hasSize(1);
            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        @Test
        void applyToAJobStoredLater() {
            Dispatcher dispatcher = claimAndStart();
            FakeAgent agent = new FakeAgent("a", loop);
            cancel("j");
            agent.exchange(dispatcher);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).isEmpty();
            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        @Test
        void applyToAJobThatTheNextDispatcherAdmits() {
            Dispatcher first = claimAndStart();
            cancel("j");
            loop.advance(REMOVAL_WAIT_MILLIS);
            first.close();
            Dispatcher second = claimAndStart();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(second);

            assertThat(agent.running).isEmpty();
            assertThat(queryStatus(second, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        @Test
        void areRemovedAfterTheRetentionTimeIfTheirJobIsNeverStored() {
            claimAndStart();
            cancel("j");
            loop.advance(ENDED_JOB_RETENTION_MILLIS / 2);
            assertThat(newestKeys(JobStore.LOG)).contains("c/j");
            assertThat(newestKeys(IntakeRequest.partition(0))).isEmpty();

            loop.advance(ENDED_JOB_RETENTION_MILLIS);

            assertThat(newestKeys(JobStore.LOG)).doesNotContain("c/j");
            assertThat(newestKeys(IntakeRequest.partition(0))).isEmpty();
        }

        @Test
        void doNotChangeEndedJobs() {
            Dispatcher dispatcher = claimAndStart();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);

            cancel("j");
            loop.advance(REMOVAL_WAIT_MILLIS);

            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
            assertThat(newestKeys(IntakeRequest.partition(0))).isEmpty();
        }
    }

    @Nested
    class UnadmittedJobs {
        @Test
        void areLookedUpInTheIntakeLogUpToTheTimeOfTheQuery() {
            Dispatcher dispatcher = claimAndStart();
            loop.advance(100);
            store(IntakeRequest.of(job));

            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
        }

        @Test
        void areReportedUnknownIfNoSubmissionIsStored() {
            assertThat(queryStatus(claimAndStart(), "j")).isEqualTo(JobStatus.UNKNOWN);
        }

        @Test
        void areNotReportedUnknownWhileReadsOfTheLogFail() {
            Dispatcher dispatcher = claimAndStart();
            loop.advance(100);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(query(dispatcher, "j"))).isEqualTo(FailureType.LOG_UNAVAILABLE);
        }

        @Test
        void areNotReportedUnknownByAReplacedDispatcher() {
            Dispatcher first = claimAndStart();
            loop.advance(50);
            store(IntakeRequest.of(job));
            claimAndStart();
            // The second dispatcher admits the job and removes its record; then the log is
            // compacted.
            log.append(
                    IntakeRequest.partition(0),
                    List.of(new KeyedRecord(IntakeRequest.of(job).key(), new byte[0])),
                    KeyedLog.ANY_END,
                    Duration.ZERO);
            log.compact(IntakeRequest.partition(0));

            CompletableFuture<JobStatus> status = query(first, "j");

            assertThat(failure(status)).isEqualTo(FailureType.NOT_DISPATCHER);
            assertThat(replaced).isTrue();
        }

        /**
         * Guards against incident 24: a compacted log was taken as proof that no other process had
         * written.
         */
        @Test
        void areNotReportedUnknownByAReplacedDispatcherAfterTheJobLogIsCompacted() {
            Dispatcher first = claimAndStart();
            loop.advance(50);
            claimAndStart();
            log.compact(JobStore.LOG);

            assertThat(failure(query(first, "j"))).isEqualTo(FailureType.NOT_DISPATCHER);
            assertThat(replaced).isTrue();
        }

        @Test
        void areReportedUnknownAfterCompactionIfNoOtherEntryHasClaimed() {
            Dispatcher dispatcher = claimAndStart();
            loop.advance(50);
            log.compact(JobStore.LOG);
            log.compact(IntakeRequest.partition(0));

            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.UNKNOWN);
            assertThat(replaced).isFalse();
        }
    }

    @Nested
    class Records {
        private final String deeplyNestedJson = "[".repeat(200_000);

        @Test
        void thatCannotBeReadAreSkipped() {
            Dispatcher dispatcher = claimAndStart();
            store(new KeyedRecord("", bytes("{}")));
            store(new KeyedRecord("j/", bytes("{}")));
            store(new KeyedRecord("x/j", bytes("{}")));
            store(new KeyedRecord("j/k/0", bytes("not JSON")));
            store(new KeyedRecord("j/k", bytes(deeplyNestedJson)));
            store(new KeyedRecord("j/k", bytes("{\"work\":" + deeplyNestedJson)));
            store(new KeyedRecord("j/k", IntakeRequest.of(job).toRecord().value()));
            store(IntakeRequest.of(job));
            loop.advance(100);

            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
            assertThat(queryStatus(dispatcher, "k")).isEqualTo(JobStatus.UNKNOWN);
            assertThat(replaced).isFalse();
        }

        @Test
        void areReadAgainAfterTheLogWasCompacted() {
            Dispatcher dispatcher = claimAndStart();
            loop.advance(5);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            loop.advance(200);
            store(IntakeRequest.of(job));
            cancel("j");
            log.compact(IntakeRequest.partition(0));
            log.setReadFault(MemoryKeyedLog.Fault.NONE);
            loop.advance(1_000);

            assertThat(queryStatus(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.UTF_8);
        }
    }
}
