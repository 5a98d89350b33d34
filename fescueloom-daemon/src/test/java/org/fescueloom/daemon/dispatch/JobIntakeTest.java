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
    private static final long KEEP_ENDED_MILLIS = 60_000;
    private static final DispatchTimings TERMS =
            new DispatchTimings(7_000, 6_000, 1_800, KEEP_ENDED_MILLIS);
    private static final long TRIMMED_MILLIS = 6_000;
    private static final QueuePolicy QUEUE =
            new QueuePolicy("queue", "host", "/q/", "service", 1, 2, 3.0, 1_000, false, false);
    private static final FleetView FLEET =
            new FleetView(new FleetConfiguration(1, List.of(QUEUE), List.of()), Set.of(), 0);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final HoldingLog holding = new HoldingLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final Submission job = JobSamples.singleTask("j");
    private boolean deposed;

    /** Refuses appends to one log, or answers them when the test says so. */
    private final class HoldingLog implements KeyedLog {
        private final List<Runnable> answers = new ArrayList<>();
        private String held = "";
        private String refused = "";

        void refuseAppends(String topic) {
            refused = topic;
        }

        void holdAppends(String topic) {
            held = topic;
        }

        void answerAppends() {
            held = "";
            answers.forEach(Runnable::run);
        }

        @Override
        public CompletableFuture<AppendOutcome> append(
                String topic, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
            if (topic.equals(refused)) {
                return CompletableFuture.failedFuture(
                        new SchedulerException(FailureType.LOG_UNAVAILABLE, "by the test"));
            }
            CompletableFuture<AppendOutcome> done =
                    log.append(topic, records, expectedEnd, timeout);
            if (!topic.equals(held)) {
                return done;
            }
            CompletableFuture<AppendOutcome> answer = new CompletableFuture<>();
            answers.add(() -> done.thenAccept(answer::complete));
            return answer;
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
                new ClaimAttempt(holding, new DispatchClaim("here", "p"), loop.logServiceContact());
        int end = log.records(JobStore.TOPIC).size();
        Dispatcher claimed =
                new Dispatcher(
                        ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join()).start(),
                        TERMS,
                        holding,
                        loop,
                        loop.logServiceContact(),
                        () -> FLEET,
                        () -> List.of("here"),
                        new Metrics(),
                        () -> deposed = true);
        claimed.start();
        return claimed;
    }

    private void store(KeyedRecord item) {
        log.append(IntakeRequest.TOPIC, List.of(item), KeyedLog.ANY_END, Duration.ZERO).join();
    }

    private void store(IntakeRequest item) {
        store(item.toRecord());
    }

    private void cancel(String id) {
        store(IntakeRequest.cancellation(id));
    }

    private CompletableFuture<JobStatus> ask(Dispatcher dispatcher, String id) {
        CompletableFuture<JobStatus> view = dispatcher.view(id);
        loop.advance(0);
        return view;
    }

    private JobStatus view(Dispatcher dispatcher, String id) {
        CompletableFuture<JobStatus> view = ask(dispatcher, id);
        assertThat(view).isCompleted();
        return view.join();
    }

    private static FailureType failure(CompletableFuture<JobStatus> view) {
        assertThat(view).isCompletedExceptionally();
        return view.handle((v, e) -> Failures.typeOf(e)).join();
    }

    private List<String> keysKept(String topic) {
        return log.newest(topic, "").join().records().stream().map(KeyedRecord::key).toList();
    }

    private Submission other(String payload) {
        Submission same = JobSamples.job("j", 3, 1_000, false, true);
        return new Submission("j", "queue", payload, "service", 0, same.work());
    }

    @Nested
    class JobsThatEntriesHaveStored {
        /** Guards against incident 24: a job was lost with the entry that had to accept it. */
        @Test
        void areTakenUpByTheNextDispatcher() {
            store(IntakeRequest.of(job));
            FakeAgent agent = new FakeAgent("a", loop);

            Dispatcher dispatcher = claim();

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
            agent.exchange(dispatcher);
            assertThat(agent.running).hasSize(1);
        }

        @Test
        void startWithoutACallOfAnybody() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            agent.exchange(dispatcher);

            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
        }

        @Test
        void areOneJobHoweverOftenTheyAreStored() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
            assertThat(log.records(JobStore.TOPIC))
                    .filteredOn(r -> r.key().equals(JobStore.submissionKey("j")))
                    .hasSize(1);
        }

        @Test
        void keepWhatWasStoredFirst() {
            claim();
            store(IntakeRequest.of(job));
            loop.advance(100);
            store(IntakeRequest.of(other("someone else")));
            loop.advance(100);

            JobStore.StoredState kept = JobStore.load(log).join();

            assertThat(kept.jobs().get("j").submission().customer()).isEqualTo(job.customer());
            claim();
            loop.advance(100);
            kept = JobStore.load(log).join();
            assertThat(kept.jobs().get("j").submission().customer()).isEqualTo(job.customer());
        }

        /** Guards against incident 24: a second job of the same name replaced the first one. */
        @Test
        void keepWhatWasHandedInFirstWhileNobodyDispatches() {
            store(IntakeRequest.of(job));
            Submission later =
                    new Submission("j", "queue", "someone else", "service", 1, job.work());
            store(IntakeRequest.of(later));

            claim();
            loop.advance(100);

            JobStore.StoredState kept = JobStore.load(log).join();
            assertThat(kept.jobs().get("j").submission().customer()).isEqualTo(job.customer());
            loop.advance(TRIMMED_MILLIS);
            assertThat(keysKept(IntakeRequest.TOPIC)).isEmpty();
        }

        /** Guards against incident 24: a repeat that came during a removal ran again later. */
        @Test
        void areRemovedAgainIfTheyAreStoredDuringARemoval() {
            Dispatcher dispatcher = claim();
            store(IntakeRequest.of(job));
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            loop.advance(TRIMMED_MILLIS - 1_000);
            holding.holdAppends(IntakeRequest.TOPIC);
            loop.advance(1_500);
            store(IntakeRequest.of(job));
            loop.advance(100);
            holding.answerAppends();
            loop.advance(2 * TRIMMED_MILLIS);

            assertThat(keysKept(IntakeRequest.TOPIC)).isEmpty();
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
        }

        @Test
        void stayInTheirLogUntilTheyAreInTheLogOfJobs() {
            Dispatcher first = claim();
            loop.advance(100);
            store(IntakeRequest.of(job));
            holding.refuseAppends(JobStore.TOPIC);
            loop.advance(2 * TRIMMED_MILLIS);
            assertThat(view(first, "j")).isEqualTo(JobStatus.QUEUED);
            holding.refuseAppends("");
            first.close();

            assertThat(keysKept(IntakeRequest.TOPIC)).containsExactly(IntakeRequest.of(job).key());
            assertThat(view(claim(), "j")).isEqualTo(JobStatus.QUEUED);
        }

        @Test
        void areRemovedOnceTheyAreTakenUp() {
            Dispatcher dispatcher = claim();
            store(IntakeRequest.of(job));
            cancel("j");
            loop.advance(TRIMMED_MILLIS);

            assertThat(keysKept(IntakeRequest.TOPIC)).isEmpty();
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
            assertThat(view(claim(), "j")).isEqualTo(JobStatus.CANCELLED);
        }

        @Test
        void areNotForgottenBeforeTheyAreRemoved() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
            store(IntakeRequest.of(job));
            for (int i = 0; i < KEEP_ENDED_MILLIS / 1_000 + 10; i++) {
                agent.exchange(dispatcher);
            }

            assertThat(keysKept(IntakeRequest.TOPIC)).isEmpty();
            claim();
            agent.exchange(dispatcher);
            assertThat(agent.running).isEmpty();
        }
    }

    @Nested
    class Cancellations {
        @Test
        void endJobsThatRun() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            cancel("j");
            AgentOrders orders = agent.exchange(dispatcher);

            assertThat(orders.stops()).hasSize(1);
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        @Test
        void holdForAJobThatIsStoredLater() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            cancel("j");
            agent.exchange(dispatcher);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).isEmpty();
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        @Test
        void holdForAJobThatTheNextDispatcherFinds() {
            Dispatcher first = claim();
            cancel("j");
            loop.advance(TRIMMED_MILLIS);
            first.close();
            Dispatcher second = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(second);

            assertThat(agent.running).isEmpty();
            assertThat(view(second, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        @Test
        void areRemovedAfterAWhileIfTheirJobNeverComes() {
            claim();
            cancel("j");
            loop.advance(KEEP_ENDED_MILLIS / 2);
            assertThat(keysKept(IntakeRequest.TOPIC)).containsExactly("c/j");

            loop.advance(KEEP_ENDED_MILLIS);

            assertThat(keysKept(IntakeRequest.TOPIC)).isEmpty();
        }

        @Test
        void leaveJobsThatHaveEnded() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            store(IntakeRequest.of(job));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);

            cancel("j");
            loop.advance(TRIMMED_MILLIS);

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
            assertThat(keysKept(IntakeRequest.TOPIC)).isEmpty();
        }
    }

    @Nested
    class JobsThatAreNotKnown {
        @Test
        void areLookedForInWhatWasStoredBeforeTheQuestion() {
            Dispatcher dispatcher = claim();
            loop.advance(100);
            store(IntakeRequest.of(job));

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
        }

        @Test
        void areUnknownIfNothingOfThemIsStored() {
            assertThat(view(claim(), "j")).isEqualTo(JobStatus.UNKNOWN);
        }

        @Test
        void areNotCalledUnknownWhileTheLogIsDown() {
            Dispatcher dispatcher = claim();
            loop.advance(100);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(ask(dispatcher, "j"))).isEqualTo(FailureType.LOG_UNAVAILABLE);
        }

        @Test
        void areNotCalledUnknownByADispatcherThatWasReplaced() {
            Dispatcher first = claim();
            loop.advance(50);
            store(IntakeRequest.of(job));
            claim();
            // The second one takes the job up and removes it; the history of that is dropped.
            log.append(
                    IntakeRequest.TOPIC,
                    List.of(new KeyedRecord(IntakeRequest.of(job).key(), new byte[0])),
                    KeyedLog.ANY_END,
                    Duration.ZERO);
            log.compact(IntakeRequest.TOPIC);

            CompletableFuture<JobStatus> view = ask(first, "j");

            assertThat(failure(view)).isEqualTo(FailureType.NOT_DISPATCHER);
            assertThat(deposed).isTrue();
        }

        /** Guards against incident 24: dropped history counted as a proof that nobody wrote. */
        @Test
        void areNotCalledUnknownAfterTheHistoryOfClaimsWasDropped() {
            Dispatcher first = claim();
            loop.advance(50);
            claim();
            log.compact(JobStore.TOPIC);

            assertThat(failure(ask(first, "j"))).isEqualTo(FailureType.NOT_DISPATCHER);
            assertThat(deposed).isTrue();
        }

        @Test
        void areUnknownAfterTheHistoryWasDroppedIfNobodyElseHasClaimed() {
            Dispatcher dispatcher = claim();
            loop.advance(50);
            log.compact(JobStore.TOPIC);
            log.compact(IntakeRequest.TOPIC);

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.UNKNOWN);
            assertThat(deposed).isFalse();
        }
    }

    @Nested
    class Records {
        private final String nested = "[".repeat(200_000);

        @Test
        void ofOtherVersionsOrWritersAreSkipped() {
            Dispatcher dispatcher = claim();
            store(new KeyedRecord("", bytes("{}")));
            store(new KeyedRecord("j/", bytes("{}")));
            store(new KeyedRecord("x/j", bytes("{}")));
            store(new KeyedRecord("j/k/0", bytes("not JSON")));
            store(new KeyedRecord("j/k", bytes(nested)));
            store(new KeyedRecord("j/k", bytes("{\"work\":" + nested)));
            store(new KeyedRecord("j/k", IntakeRequest.of(job).toRecord().value()));
            store(IntakeRequest.of(job));
            loop.advance(100);

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
            assertThat(view(dispatcher, "k")).isEqualTo(JobStatus.UNKNOWN);
            assertThat(deposed).isFalse();
        }

        @Test
        void areReadAgainWhenTheLogHasDroppedItsHistory() {
            Dispatcher dispatcher = claim();
            loop.advance(5);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            loop.advance(200);
            store(IntakeRequest.of(job));
            cancel("j");
            log.compact(IntakeRequest.TOPIC);
            log.setReadFault(MemoryKeyedLog.Fault.NONE);
            loop.advance(1_000);

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.CANCELLED);
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.UTF_8);
        }
    }
}
