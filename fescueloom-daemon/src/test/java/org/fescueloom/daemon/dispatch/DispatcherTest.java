package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.schedule.UpstreamHealth;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private static final DispatchTimings TERMS = new DispatchTimings(7_000, 6_000, 1_800, 60_000);
    private static final QueuePolicy QUEUE =
            new QueuePolicy("queue", "host", "/q/", "service", 1, 2, 3.0, 1_000, false, false);
    private static final FleetConfiguration CONFIGURATION =
            new FleetConfiguration(1, List.of(QUEUE), List.of());

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();
    private static final FleetConfiguration TWO_QUEUES =
            new FleetConfiguration(
                    1,
                    List.of(
                            new QueuePolicy(
                                    "queue", "h", "/q/", "service", 1, 2, 3, 0, false, false),
                            new QueuePolicy(
                                    "urgent", "h", "/u/", "service", 0, 2, 1.5, 0, false, false)),
                    List.of());

    private FleetView fleet = new FleetView(CONFIGURATION, Set.of(), 0);
    private boolean deposed;
    private boolean failing;

    private Dispatcher claim() {
        ClaimAttempt attempt =
                new ClaimAttempt(log, new DispatchClaim("here", "p"), loop.logServiceContact());
        int end = log.records(JobStore.TOPIC).size();
        Dispatcher.InitialState start =
                ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join()).start();
        Dispatcher dispatcher =
                new Dispatcher(
                        start,
                        TERMS,
                        log,
                        loop,
                        loop.logServiceContact(),
                        this::fleet,
                        () -> List.of("here"),
                        new Metrics(),
                        () -> deposed = true);
        dispatcher.start();
        return dispatcher;
    }

    private static Submission job(String id, int tasks, boolean gang) {
        return JobSamples.job(id, tasks, 1_000, gang, true);
    }

    private FleetView fleet() {
        if (failing) {
            throw new IllegalStateException("by the test");
        }
        return fleet;
    }

    /** Stores an item as any entry does. */
    private void store(IntakeRequest item) {
        log.append(
                IntakeRequest.TOPIC,
                List.of(item.toRecord()),
                KeyedLog.ANY_END,
                Duration.ofSeconds(1));
    }

    private void accept(Dispatcher dispatcher, Submission submission) {
        store(IntakeRequest.of(submission));
        loop.advance(50);
        assertThat(view(dispatcher, submission.id())).isNotEqualTo(JobStatus.UNKNOWN);
    }

    private JobStatus view(Dispatcher dispatcher, String job) {
        CompletableFuture<JobStatus> view = dispatcher.view(job);
        loop.advance(0);
        assertThat(view).isCompleted();
        return view.join();
    }

    @Nested
    class Starting {
        @Test
        void tellsAnAgentOnlyWhatIsStored() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            agent.exchange(dispatcher);
            accept(dispatcher, job("j", 1, false));
            CompletableFuture<AgentOrders> reply = agent.report(dispatcher);
            store(IntakeRequest.of(job("j2", 1, false)));
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            loop.advance(300);
            assertThat(view(dispatcher, "j2")).isEqualTo(JobStatus.QUEUED);
            assertThat(ordersOf(reply)).noneMatch(task -> task.startsWith("j2."));
        }

        private List<String> ordersOf(CompletableFuture<AgentOrders> reply) {
            return reply.isDone()
                    ? reply.join().starts().stream().map(StartOrder::task).toList()
                    : List.of();
        }

        /** Guards against incident 24: one odd value stopped a loop for good. */
        @Test
        void goesOnAfterARoundThatFailed() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            failing = true;
            loop.advance(1_000);
            failing = false;
            accept(dispatcher, job("j", 1, false));

            assertThat(agent.exchange(dispatcher).starts()).hasSize(1);
        }

        @Test
        void repeatsAnOrderWhoseAnswerWasLost() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 1, false));
            AgentOrders first = agent.exchange(dispatcher);
            agent.running.clear();

            AgentOrders again = agent.exchange(dispatcher);

            assertThat(first.starts()).hasSize(1);
            assertThat(again.starts()).isEqualTo(first.starts());
        }

        @Test
        void startsNothingInAZoneThatIsOut() {
            Dispatcher dispatcher = claim();
            fleet = new FleetView(CONFIGURATION, Set.of("zone"), 1);
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 1, false));

            assertThat(agent.exchange(dispatcher).starts()).isEmpty();
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
        }
    }

    @Nested
    class Ending {
        @Test
        void acknowledgesAnEndOnlyOnceItIsStored() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 1, false));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(agent.exchange(dispatcher).acknowledged()).isZero();
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.RUNNING);

            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            assertThat(agent.exchange(dispatcher).acknowledged()).isEqualTo(1);
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }

        @Test
        void givesUpAfterTheAttemptsOfTheQueue() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 1, false));
            agent.exchange(dispatcher);
            agent.end(RunEnd.FAILED);
            agent.exchange(dispatcher);
            agent.exchange(dispatcher);
            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.RUNNING);
            agent.end(RunEnd.FAILED);
            agent.exchange(dispatcher);

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.FAILED);
        }

        @Test
        void oneDoneMemberStandsForItsGang() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 3, true));
            agent.exchange(dispatcher);
            assertThat(agent.running).hasSize(3);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);

            assertThat(view(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }

        @Test
        void aGangRunsAgainOnlyWhenAllMembersHaveEnded() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 2, true));
            agent.exchange(dispatcher);
            agent.end(RunEnd.FAILED);
            assertThat(agent.exchange(dispatcher).starts()).isEmpty();
            agent.end(RunEnd.BROKEN);
            agent.exchange(dispatcher);
            AgentOrders again = agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(2);
            assertThat(agent.running).allMatch(row -> row.run() == 2);
            assertThat(again.stops()).isEmpty();
        }
    }

    @Nested
    class Overdue {
        private Submission withoutCheckpoints(long estimateMillis) {
            return JobSamples.job("j", 1, estimateMillis, false, false);
        }

        private long millisUntilStopped(Dispatcher dispatcher, FakeAgent agent) {
            long start = loop.nowMillis();
            while (agent.exchange(dispatcher).stops().isEmpty()) {
                assertThat(loop.nowMillis() - start).isLessThan(120_000);
            }
            return loop.nowMillis() - start;
        }

        @Test
        void shortTasksAreGivenSecondsWhateverTheirEstimate() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, withoutCheckpoints(300));
            agent.exchange(dispatcher);

            assertThat(millisUntilStopped(dispatcher, agent)).isGreaterThan(8_000);
        }

        @Test
        void aRunThatStandsStillGetsNoMoreTimeByMakingItsUpstreamLookSlow() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, withoutCheckpoints(1_000));
            agent.exchange(dispatcher);

            long allowed = 3_300 + 8_000;
            long twoExchanges = 2 * 1_200;
            assertThat(millisUntilStopped(dispatcher, agent))
                    .isLessThanOrEqualTo(allowed + twoExchanges);
        }

        @Test
        void eachRunIsGivenMoreTimeThanTheOneBefore() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, withoutCheckpoints(1_000));
            agent.exchange(dispatcher);
            long first = millisUntilStopped(dispatcher, agent);
            agent.end(RunEnd.STOPPED);
            while (agent.running.isEmpty()) {
                agent.exchange(dispatcher);
            }

            assertThat(millisUntilStopped(dispatcher, agent)).isGreaterThan(first + 5_000);
        }
    }

    @Nested
    class TakingOver {
        @Test
        void keepsRunsWhereTheyAre() {
            Dispatcher first = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(first, job("j", 2, true));
            agent.exchange(first);

            Dispatcher second = claim();
            AgentOrders orders = agent.exchange(second);

            assertThat(view(second, "j")).isEqualTo(JobStatus.RUNNING);
            assertThat(orders.starts()).isEmpty();
            assertThat(orders.stops()).isEmpty();
        }

        @Test
        void waitsForALookBeforeItJudgesARun() {
            Dispatcher first = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(first, job("j", 2, true));
            agent.exchange(first);
            List<RunStatus> running = agent.running;

            Dispatcher second = claim();
            agent.running = new ArrayList<>();
            agent.looked = false;
            assertThat(agent.exchange(second).stops()).isEmpty();
            agent.running = running;
            agent.looked = true;

            assertThat(agent.exchange(second).stops()).isEmpty();
            assertThat(agent.running).hasSize(2).allMatch(row -> row.run() == 1);
        }

        @Test
        void stopsNothingForAnUrgentJobBeforeAllAgentsCanHaveReported() {
            FakeAgent full = fullAgent();
            Dispatcher second = claim();
            FakeAgent idle = new FakeAgent("idle", loop);
            CompletableFuture<AgentOrders> orders = full.report(second);
            accept(second, urgent("urgent", 8));
            CompletableFuture<AgentOrders> starts = idle.report(second);
            loop.advance(1_500);

            assertThat(orders.join().stops()).isEmpty();
            assertThat(starts.join().starts()).hasSize(8);
        }

        @Test
        void stopsLessUrgentRunsOnceAllAgentsCanHaveReported() {
            FakeAgent full = fullAgent();
            Dispatcher second = claim();
            full.report(second);
            accept(second, urgent("urgent", 8));
            loop.advance(900);
            CompletableFuture<AgentOrders> orders = full.report(second);
            loop.advance(300);

            assertThat(orders.join().stops()).hasSize(8);
        }

        /** Returns an agent whose upstream is filled by a dispatcher with usual tasks. */
        private FakeAgent fullAgent() {
            fleet = new FleetView(TWO_QUEUES, Set.of(), 0);
            Dispatcher first = claim();
            FakeAgent full = new FakeAgent("full", loop);
            accept(first, job("usual", 8, false));
            full.exchange(first);
            return full;
        }

        private Submission urgent(String id, int tasks) {
            Submission usual = job(id, tasks, false);
            return new Submission(id, "urgent", "customer", "service", 0, usual.work());
        }

        @Test
        void learnsFromRunsThatTheOneBeforeHasStarted() {
            fleet = new FleetView(TWO_QUEUES, Set.of(), 0);
            Dispatcher first = claim();
            FakeAgent slow = new FakeAgent("a", loop);
            accept(first, JobSamples.job("long", 1, 1_000, false, false));
            slow.exchange(first);

            Dispatcher second = claim();
            FakeAgent other = new FakeAgent("b", loop);
            for (int i = 0; i < 7; i++) {
                slow.report(second);
                other.report(second);
                loop.advance(1_000);
            }
            accept(second, urgent("urgent", 1));

            assertThat(slow.exchange(second).starts()).isEmpty();
            assertThat(other.exchange(second).starts()).hasSize(1);
        }

        @Test
        void knowsTheSpeedOfUpstreamsFromTheOneBefore() {
            Dispatcher first = claim();
            FakeAgent slow = new FakeAgent("slow", loop);
            for (int i = 0; i < 4; i++) {
                accept(first, job("j" + i, 1, false));
                slow.exchange(first);
                slow.report(first);
                loop.advance(2_000);
                slow.end(RunEnd.DONE);
                slow.report(first);
                loop.advance(50);
            }

            JobStore.StoredState kept = JobStore.load(log).join();

            assertThat(kept.speeds().get("slow").slowness()).isGreaterThan(1.2);
            UpstreamHealth health = new UpstreamHealth();
            health.restore(
                    kept.speeds().get("slow"), 0, loop.logServiceContact().now().wallClockMillis());
            assertThat(health.speedKnown()).isTrue();
            assertThat(health.slowness()).isGreaterThan(1.2);
        }

        @Test
        void stopsTheOneBefore() {
            Dispatcher first = claim();
            claim();
            store(IntakeRequest.of(job("j", 1, false)));
            loop.advance(2_100);

            assertThat(deposed).isTrue();
            CompletableFuture<JobStatus> view = first.view("unknown");
            loop.advance(0);
            assertThat(view).isCompletedExceptionally();
        }

        @Test
        void startsNothingAgainWhileALeaseMayLast() {
            Dispatcher first = claim();
            FakeAgent silent = new FakeAgent("a", loop);
            accept(first, job("j", 1, false));
            silent.exchange(first);

            Dispatcher second = claim();
            FakeAgent other = new FakeAgent("b", loop);
            other.instance = "i-2";
            long until = TERMS.maxProofAgeMillis() + TERMS.latestLeaseExpiryMillis();
            for (long waited = 0; waited + 1_300 < until; waited += 1_200) {
                assertThat(other.exchange(second).starts()).isEmpty();
            }
            loop.advance(2_000);
            other.exchange(second);
            other.exchange(second);

            assertThat(other.running).extracting(RunStatus::run).containsExactly(2);
        }

        @Test
        void learnsAJobWhoseAnswerWasLost() {
            claim();
            log.setAppendFault(MemoryKeyedLog.Fault.ANSWER_LOST);
            store(IntakeRequest.of(job("j", 1, false)));
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);

            Dispatcher second = claim();

            assertThat(view(second, "j")).isEqualTo(JobStatus.QUEUED);
        }
    }

    @Nested
    class Leases {
        @Test
        void areNotGrantedWithoutProofOfTheClaim() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            assertThat(agent.exchange(dispatcher).leaseMillis()).isEqualTo(TERMS.leaseMillis());
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            loop.advance(TERMS.maxProofAgeMillis());

            assertThat(agent.exchange(dispatcher).leaseMillis()).isZero();
        }

        @Test
        void areNotGrantedAfterASuspensionUntilTheLogWasAsked() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            agent.exchange(dispatcher);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            loop.shiftWallClock(10_000);

            assertThat(agent.exchange(dispatcher).leaseMillis()).isZero();
        }

        @Test
        void endRunsOfAnAgentThatIsSilentForTheirTime() {
            Dispatcher dispatcher = claim();
            FakeAgent silent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 1, false));
            silent.exchange(dispatcher);
            FakeAgent other = new FakeAgent("b", loop);
            other.instance = "i-2";
            loop.advance(TERMS.latestLeaseExpiryMillis());
            other.exchange(dispatcher);
            other.exchange(dispatcher);

            assertThat(other.running).extracting(RunStatus::run).containsExactly(2);
        }

        @Test
        void areOverWithTheLifeOfTheUpstream() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            accept(dispatcher, job("j", 1, false));
            agent.exchange(dispatcher);
            agent.born = 2;
            agent.running.clear();
            agent.exchange(dispatcher);
            agent.exchange(dispatcher);

            assertThat(agent.running).extracting(RunStatus::run).containsExactly(2);
        }
    }
}
