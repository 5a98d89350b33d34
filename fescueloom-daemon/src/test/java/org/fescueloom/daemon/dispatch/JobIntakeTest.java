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
import org.fescueloom.work.JobView;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobIntakeTest {
    private static final long KEEP_ENDED_MILLIS = 60_000;
    private static final DispatchTerms TERMS =
            new DispatchTerms(7_000, 6_000, 1_800, KEEP_ENDED_MILLIS);
    private static final long TRIMMED_MILLIS = 6_000;
    private static final QueuePolicy QUEUE =
            new QueuePolicy("queue", "host", "/q/", "service", 1, 2, 3.0, 1_000, false, false);
    private static final FleetView FLEET =
            new FleetView(new FleetConfiguration(1, List.of(QUEUE), List.of()), Set.of(), 0);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final HoldingLog holding = new HoldingLog();
    private final ManualLoop loop = new ManualLoop();
    private final Submission job = JobSamples.single("j");
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
                new ClaimAttempt(holding, new DispatchClaim("here", "p"), loop.contact());
        int end = log.records(JobStore.TOPIC).size();
        Dispatcher claimed =
                new Dispatcher(
                        ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join()).start(),
                        TERMS,
                        holding,
                        loop,
                        loop.contact(),
                        () -> FLEET,
                        () -> List.of("here"),
                        new Metrics(),
                        () -> deposed = true);
        claimed.start();
        return claimed;
    }

    private void store(KeyedRecord item) {
        log.append(IntakeItem.TOPIC, List.of(item), KeyedLog.ANY_END, Duration.ZERO).join();
    }

    private void store(IntakeItem item) {
        store(item.encode());
    }

    private void cancel(String id) {
        store(IntakeItem.cancellation(id));
    }

    private CompletableFuture<JobView> ask(Dispatcher dispatcher, String id) {
        CompletableFuture<JobView> view = dispatcher.view(id);
        loop.advance(0);
        return view;
    }

    private JobView view(Dispatcher dispatcher, String id) {
        CompletableFuture<JobView> view = ask(dispatcher, id);
        assertThat(view).isCompleted();
        return view.join();
    }

    private static FailureType failure(CompletableFuture<JobView> view) {
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
            store(IntakeItem.of(job));
            PlayedAgent agent = new PlayedAgent("a", loop);

            Dispatcher dispatcher = claim();

            assertThat(view(dispatcher, "j")).isEqualTo(JobView.QUEUED);
            agent.exchange(dispatcher);
            assertThat(agent.running).hasSize(1);
        }

        @Test
        void startWithoutACallOfAnybody() {
            Dispatcher dispatcher = claim();
            PlayedAgent agent = new PlayedAgent("a", loop);
            agent.exchange(dispatcher);

            store(IntakeItem.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
        }

        @Test
        void areOneJobHoweverOftenTheyAreStored() {
            Dispatcher dispatcher = claim();
            PlayedAgent agent = new PlayedAgent("a", loop);
            store(IntakeItem.of(job));
            store(IntakeItem.of(job));
            agent.exchange(dispatcher);
            store(IntakeItem.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
            assertThat(log.records(JobStore.TOPIC))
                    .filteredOn(r -> r.key().equals(JobStore.submissionKey("j")))
                    .hasSize(1);
        }

        @Test
        void keepWhatWasStoredFirst() {
            claim();
            store(IntakeItem.of(job));
            loop.advance(100);
            store(IntakeItem.of(other("someone else")));
            loop.advance(100);

            JobStore.Content kept = JobStore.load(log).join();

            assertThat(kept.jobs().get("j").submission().customer()).isEqualTo(job.customer());
            claim();
            loop.advance(100);
            kept = JobStore.load(log).join();
            assertThat(kept.jobs().get("j").submission().customer()).isEqualTo(job.customer());
        }

        /** Guards against incident 24: a second job of the same name replaced the first one. */
        @Test
        void keepWhatWasHandedInFirstWhileNobodyDispatches() {
            store(IntakeItem.of(job));
            Submission later =
                    new Submission("j", "queue", "someone else", "service", 1, job.work());
            store(IntakeItem.of(later));

            claim();
            loop.advance(100);

            JobStore.Content kept = JobStore.load(log).join();
            assertThat(kept.jobs().get("j").submission().customer()).isEqualTo(job.customer());
            loop.advance(TRIMMED_MILLIS);
            assertThat(keysKept(IntakeItem.TOPIC)).isEmpty();
        }

        /** Guards against incident 24: a repeat that came during a removal ran again later. */
        @Test
        void areRemovedAgainIfTheyAreStoredDuringARemoval() {
            Dispatcher dispatcher = claim();
            store(IntakeItem.of(job));
            log.onAppend(MemoryKeyedLog.Fault.NONE);
            loop.advance(TRIMMED_MILLIS - 1_000);
            holding.holdAppends(IntakeItem.TOPIC);
            loop.advance(1_500);
            store(IntakeItem.of(job));
            loop.advance(100);
            holding.answerAppends();
            loop.advance(2 * TRIMMED_MILLIS);

            assertThat(keysKept(IntakeItem.TOPIC)).isEmpty();
            assertThat(view(dispatcher, "j")).isEqualTo(JobView.QUEUED);
        }

        @Test
        void stayInTheirLogUntilTheyAreInTheLogOfJobs() {
            Dispatcher first = claim();
            loop.advance(100);
            store(IntakeItem.of(job));
            holding.refuseAppends(JobStore.TOPIC);
            loop.advance(2 * TRIMMED_MILLIS);
            assertThat(view(first, "j")).isEqualTo(JobView.QUEUED);
            holding.refuseAppends("");
            first.close();

            assertThat(keysKept(IntakeItem.TOPIC)).containsExactly(IntakeItem.of(job).key());
            assertThat(view(claim(), "j")).isEqualTo(JobView.QUEUED);
        }

        @Test
        void areRemovedOnceTheyAreTakenUp() {
            Dispatcher dispatcher = claim();
            store(IntakeItem.of(job));
            cancel("j");
            loop.advance(TRIMMED_MILLIS);

            assertThat(keysKept(IntakeItem.TOPIC)).isEmpty();
            assertThat(view(dispatcher, "j")).isEqualTo(JobView.CANCELLED);
            assertThat(view(claim(), "j")).isEqualTo(JobView.CANCELLED);
        }

        @Test
        void areNotForgottenBeforeTheyAreRemoved() {
            Dispatcher dispatcher = claim();
            PlayedAgent agent = new PlayedAgent("a", loop);
            store(IntakeItem.of(job));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);
            assertThat(view(dispatcher, "j")).isEqualTo(JobView.SUCCEEDED);
            store(IntakeItem.of(job));
            for (int i = 0; i < KEEP_ENDED_MILLIS / 1_000 + 10; i++) {
                agent.exchange(dispatcher);
            }

            assertThat(keysKept(IntakeItem.TOPIC)).isEmpty();
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
            PlayedAgent agent = new PlayedAgent("a", loop);
            store(IntakeItem.of(job));
            agent.exchange(dispatcher);

            cancel("j");
            AgentOrders orders = agent.exchange(dispatcher);

            assertThat(orders.stops()).hasSize(1);
            assertThat(view(dispatcher, "j")).isEqualTo(JobView.CANCELLED);
        }

        @Test
        void holdForAJobThatIsStoredLater() {
            Dispatcher dispatcher = claim();
            PlayedAgent agent = new PlayedAgent("a", loop);
            cancel("j");
            agent.exchange(dispatcher);
            store(IntakeItem.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).isEmpty();
            assertThat(view(dispatcher, "j")).isEqualTo(JobView.CANCELLED);
        }

        @Test
        void holdForAJobThatTheNextDispatcherFinds() {
            Dispatcher first = claim();
            cancel("j");
            loop.advance(TRIMMED_MILLIS);
            first.close();
            Dispatcher second = claim();
            PlayedAgent agent = new PlayedAgent("a", loop);
            store(IntakeItem.of(job));
            agent.exchange(second);

            assertThat(agent.running).isEmpty();
            assertThat(view(second, "j")).isEqualTo(JobView.CANCELLED);
        }

        @Test
        void areRemovedAfterAWhileIfTheirJobNeverComes() {
            claim();
            cancel("j");
            loop.advance(KEEP_ENDED_MILLIS / 2);
            assertThat(keysKept(IntakeItem.TOPIC)).containsExactly("c/j");

            loop.advance(KEEP_ENDED_MILLIS);

            assertThat(keysKept(IntakeItem.TOPIC)).isEmpty();
        }

        @Test
        void leaveJobsThatHaveEnded() {
            Dispatcher dispatcher = claim();
            PlayedAgent agent = new PlayedAgent("a", loop);
            store(IntakeItem.of(job));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);

            cancel("j");
            loop.advance(TRIMMED_MILLIS);

            assertThat(view(dispatcher, "j")).isEqualTo(JobView.SUCCEEDED);
            assertThat(keysKept(IntakeItem.TOPIC)).isEmpty();
        }
    }

    @Nested
    class JobsThatAreNotKnown {
        @Test
        void areLookedForInWhatWasStoredBeforeTheQuestion() {
            Dispatcher dispatcher = claim();
            loop.advance(100);
            store(IntakeItem.of(job));

            assertThat(view(dispatcher, "j")).isEqualTo(JobView.QUEUED);
        }

        @Test
        void areUnknownIfNothingOfThemIsStored() {
            assertThat(view(claim(), "j")).isEqualTo(JobView.UNKNOWN);
        }

        @Test
        void areNotCalledUnknownWhileTheLogIsDown() {
            Dispatcher dispatcher = claim();
            loop.advance(100);
            log.onRead(MemoryKeyedLog.Fault.REFUSED);

            assertThat(failure(ask(dispatcher, "j"))).isEqualTo(FailureType.LOG_UNAVAILABLE);
        }

        @Test
        void areNotCalledUnknownByADispatcherThatWasReplaced() {
            Dispatcher first = claim();
            loop.advance(50);
            store(IntakeItem.of(job));
            claim();
            // The second one takes the job up and removes it; the history of that is dropped.
            log.append(
                    IntakeItem.TOPIC,
                    List.of(new KeyedRecord(IntakeItem.of(job).key(), new byte[0])),
                    KeyedLog.ANY_END,
                    Duration.ZERO);
            log.forgetHistory(IntakeItem.TOPIC);

            CompletableFuture<JobView> view = ask(first, "j");

            assertThat(failure(view)).isEqualTo(FailureType.NOT_DISPATCHER);
            assertThat(deposed).isTrue();
        }

        /** Guards against incident 24: dropped history counted as a proof that nobody wrote. */
        @Test
        void areNotCalledUnknownAfterTheHistoryOfClaimsWasDropped() {
            Dispatcher first = claim();
            loop.advance(50);
            claim();
            log.forgetHistory(JobStore.TOPIC);

            assertThat(failure(ask(first, "j"))).isEqualTo(FailureType.NOT_DISPATCHER);
            assertThat(deposed).isTrue();
        }

        @Test
        void areUnknownAfterTheHistoryWasDroppedIfNobodyElseHasClaimed() {
            Dispatcher dispatcher = claim();
            loop.advance(50);
            log.forgetHistory(JobStore.TOPIC);
            log.forgetHistory(IntakeItem.TOPIC);

            assertThat(view(dispatcher, "j")).isEqualTo(JobView.UNKNOWN);
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
            store(new KeyedRecord("j/k", IntakeItem.of(job).encode().value()));
            store(IntakeItem.of(job));
            loop.advance(100);

            assertThat(view(dispatcher, "j")).isEqualTo(JobView.QUEUED);
            assertThat(view(dispatcher, "k")).isEqualTo(JobView.UNKNOWN);
            assertThat(deposed).isFalse();
        }

        @Test
        void areReadAgainWhenTheLogHasDroppedItsHistory() {
            Dispatcher dispatcher = claim();
            loop.advance(5);
            log.onRead(MemoryKeyedLog.Fault.REFUSED);
            loop.advance(200);
            store(IntakeItem.of(job));
            cancel("j");
            log.forgetHistory(IntakeItem.TOPIC);
            log.onRead(MemoryKeyedLog.Fault.NONE);
            loop.advance(1_000);

            assertThat(view(dispatcher, "j")).isEqualTo(JobView.CANCELLED);
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.UTF_8);
        }
    }
}
