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
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000);
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
    private boolean replaced;
    private boolean fleetViewFails;

    /** Returns a new dispatcher, which replaces the previous one if there is one. */
    private Dispatcher claim() {
        ClaimAttempt attempt =
                new ClaimAttempt(log, new DispatchClaim("here", "p"), loop.logServiceContact());
        int end = log.records(JobStore.LOG).size();
        Dispatcher.InitialState initialState =
                ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join()).initialState();
        Dispatcher dispatcher =
                new Dispatcher(
                        initialState,
                        TIMINGS,
                        new LogAccess(log, 1),
                        loop,
                        loop.logServiceContact(),
                        this::fleet,
                        () -> List.of("here"),
                        new Metrics(),
                        () -> replaced = true);
        dispatcher.start();
        return dispatcher;
    }

    private static Submission job(String id, int tasks, boolean gang) {
        return JobSamples.job(id, tasks, 1_000, gang, true);
    }

    private FleetView fleet() {
        if (fleetViewFails) {
            throw new IllegalStateException("the test lets the fleet view fail");
        }
        return fleet;
    }

    /** Stores a request in the intake log, as an entry does. */
    private void storeRequest(IntakeRequest request) {
        log.append(
                IntakeRequest.partition(0),
                List.of(request.toRecord()),
                KeyedLog.ANY_END,
                Duration.ofSeconds(1));
    }

    private void submit(Dispatcher dispatcher, Submission submission) {
        storeRequest(IntakeRequest.of(submission));
        loop.advance(50);
        assertThat(jobStatus(dispatcher, submission.id())).isNotEqualTo(JobStatus.UNKNOWN);
    }

    private JobStatus jobStatus(Dispatcher dispatcher, String job) {
        CompletableFuture<JobStatus> status = dispatcher.status(job);
        loop.advance(0);
        assertThat(status).isCompleted();
        return status.join();
    }

    @Nested
    class Starts {
        @Test
        void sendsNoStartOrderBeforeItsAssignmentIsStored() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            agent.exchange(dispatcher);
            submit(dispatcher, job("j", 1, false));
            CompletableFuture<AgentOrders> reply = agent.report(dispatcher);
            storeRequest(IntakeRequest.of(job("j2", 1, false)));
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            loop.advance(300);
            assertThat(jobStatus(dispatcher, "j2")).isEqualTo(JobStatus.QUEUED);
            assertThat(startedTasks(reply)).noneMatch(task -> task.startsWith("j2."));
        }

        private List<String> startedTasks(CompletableFuture<AgentOrders> reply) {
            return reply.isDone()
                    ? reply.join().starts().stream().map(StartOrder::task).toList()
                    : List.of();
        }

        /** Guards against incident 24: one invalid value stopped the rounds permanently. */
        @Test
        void continuesAfterAFailedRound() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            fleetViewFails = true;
            loop.advance(1_000);
            fleetViewFails = false;
            submit(dispatcher, job("j", 1, false));

            assertThat(agent.exchange(dispatcher).starts()).hasSize(1);
        }

        @Test
        void repeatsAStartOrderWhoseResponseWasLost() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 1, false));
            AgentOrders first = agent.exchange(dispatcher);
            agent.running.clear();

            AgentOrders again = agent.exchange(dispatcher);

            assertThat(first.starts()).hasSize(1);
            assertThat(again.starts()).isEqualTo(first.starts());
        }

        @Test
        void startsNothingInAZoneOutOfService() {
            Dispatcher dispatcher = claim();
            fleet = new FleetView(CONFIGURATION, Set.of("zone"), 1);
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 1, false));

            assertThat(agent.exchange(dispatcher).starts()).isEmpty();
            assertThat(jobStatus(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
        }
    }

    @Nested
    class Ends {
        @Test
        void acknowledgesAnEndOnlyAfterItIsStored() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 1, false));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);

            assertThat(agent.exchange(dispatcher).acknowledged()).isZero();
            assertThat(jobStatus(dispatcher, "j")).isEqualTo(JobStatus.RUNNING);

            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            assertThat(agent.exchange(dispatcher).acknowledged()).isEqualTo(1);
            assertThat(jobStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }

        @Test
        void failsTheJobAfterTheFailedRunsThatItsQueueAllows() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 1, false));
            agent.exchange(dispatcher);
            agent.end(RunEnd.FAILED);
            agent.exchange(dispatcher);
            agent.exchange(dispatcher);
            assertThat(jobStatus(dispatcher, "j")).isEqualTo(JobStatus.RUNNING);
            agent.end(RunEnd.FAILED);
            agent.exchange(dispatcher);

            assertThat(jobStatus(dispatcher, "j")).isEqualTo(JobStatus.FAILED);
        }

        @Test
        void oneSuccessfulMemberCompletesTheGang() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 3, true));
            agent.exchange(dispatcher);
            assertThat(agent.running).hasSize(3);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);

            assertThat(jobStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }

        @Test
        void restartsAGangOnlyAfterAllItsRunsHaveEnded() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 2, true));
            agent.exchange(dispatcher);
            agent.end(RunEnd.FAILED);
            assertThat(agent.exchange(dispatcher).starts()).isEmpty();
            agent.end(RunEnd.BROKEN);
            agent.exchange(dispatcher);
            AgentOrders again = agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(2);
            assertThat(agent.running).allMatch(status -> status.run() == 2);
            assertThat(again.stops()).isEmpty();
        }
    }

    @Nested
    class OverdueRuns {
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
        void allowsShortTasksAtLeastTheOverdueMargin() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, withoutCheckpoints(300));
            agent.exchange(dispatcher);

            assertThat(millisUntilStopped(dispatcher, agent)).isGreaterThan(8_000);
        }

        @Test
        void ignoresTheSlownessThatTheOverdueRunItselfSuggests() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, withoutCheckpoints(1_000));
            agent.exchange(dispatcher);

            // At slowness 1.0, the run is overdue after 5.0 * 1,000 + 8,000 ms; the bound is 700 ms
            // higher.
            long allowed = 3_300 + 8_000;
            long twoExchanges = 2 * 1_200;
            assertThat(millisUntilStopped(dispatcher, agent))
                    .isLessThanOrEqualTo(allowed + twoExchanges);
        }

        @Test
        void allowsEachRetryMoreTime() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, withoutCheckpoints(1_000));
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
    class Takeover {
        @Test
        void keepsExistingRuns() {
            Dispatcher first = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(first, job("j", 2, true));
            agent.exchange(first);

            Dispatcher second = claim();
            AgentOrders orders = agent.exchange(second);

            assertThat(jobStatus(second, "j")).isEqualTo(JobStatus.RUNNING);
            assertThat(orders.starts()).isEmpty();
            assertThat(orders.stops()).isEmpty();
        }

        @Test
        void waitsForAPollBeforeItStopsOrRestartsRuns() {
            Dispatcher first = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(first, job("j", 2, true));
            agent.exchange(first);
            List<RunStatus> running = agent.running;

            Dispatcher second = claim();
            agent.running = new ArrayList<>();
            agent.polled = false;
            assertThat(agent.exchange(second).stops()).isEmpty();
            agent.running = running;
            agent.polled = true;

            assertThat(agent.exchange(second).stops()).isEmpty();
            assertThat(agent.running).hasSize(2).allMatch(status -> status.run() == 1);
        }

        @Test
        void preemptsNothingBeforeAllAgentsCanHaveReported() {
            FakeAgent full = agentWithoutFreeResources();
            Dispatcher second = claim();
            FakeAgent idle = new FakeAgent("idle", loop);
            CompletableFuture<AgentOrders> orders = full.report(second);
            submit(second, urgent("urgent", 8));
            CompletableFuture<AgentOrders> starts = idle.report(second);
            loop.advance(1_500);

            assertThat(orders.join().stops()).isEmpty();
            assertThat(starts.join().starts()).hasSize(8);
        }

        @Test
        void preemptsLowerPriorityRunsOnceAllAgentsCanHaveReported() {
            FakeAgent full = agentWithoutFreeResources();
            Dispatcher second = claim();
            full.report(second);
            submit(second, urgent("urgent", 8));
            loop.advance(900);
            CompletableFuture<AgentOrders> orders = full.report(second);
            loop.advance(300);

            assertThat(orders.join().stops()).hasSize(8);
        }

        /**
         * Returns an agent whose upstream has no free resources, because a dispatcher has filled it
         * with tasks of normal priority.
         */
        private FakeAgent agentWithoutFreeResources() {
            fleet = new FleetView(TWO_QUEUES, Set.of(), 0);
            Dispatcher first = claim();
            FakeAgent full = new FakeAgent("full", loop);
            submit(first, job("usual", 8, false));
            full.exchange(first);
            return full;
        }

        private Submission urgent(String id, int tasks) {
            Submission normal = job(id, tasks, false);
            return new Submission(id, "urgent", "customer", "service", 0, normal.work());
        }

        @Test
        void estimatesSpeedsFromRunsThatThePreviousDispatcherStarted() {
            fleet = new FleetView(TWO_QUEUES, Set.of(), 0);
            Dispatcher first = claim();
            FakeAgent slow = new FakeAgent("a", loop);
            submit(first, JobSamples.job("long", 1, 1_000, false, false));
            slow.exchange(first);

            Dispatcher second = claim();
            FakeAgent other = new FakeAgent("b", loop);
            for (int i = 0; i < 7; i++) {
                slow.report(second);
                other.report(second);
                loop.advance(1_000);
            }
            submit(second, urgent("urgent", 1));

            assertThat(slow.exchange(second).starts()).isEmpty();
            assertThat(other.exchange(second).starts()).hasSize(1);
        }

        @Test
        void restoresUpstreamSpeedsThatThePreviousDispatcherStored() {
            Dispatcher first = claim();
            FakeAgent slow = new FakeAgent("slow", loop);
            for (int i = 0; i < 4; i++) {
                submit(first, job("j" + i, 1, false));
                slow.exchange(first);
                slow.report(first);
                loop.advance(2_000);
                slow.end(RunEnd.DONE);
                slow.report(first);
                loop.advance(50);
            }

            JobStore.StoredState stored = JobStore.load(log).join();

            assertThat(stored.speeds().get("slow").slowness()).isGreaterThan(1.2);
            UpstreamHealth health = new UpstreamHealth();
            health.restore(
                    stored.speeds().get("slow"),
                    0,
                    loop.logServiceContact().now().wallClockMillis());
            assertThat(health.speedKnown()).isTrue();
            assertThat(health.slowness()).isGreaterThan(1.2);
        }

        @Test
        void makesThePreviousDispatcherStepDown() {
            Dispatcher first = claim();
            claim();
            storeRequest(IntakeRequest.of(job("j", 1, false)));
            loop.advance(2_100);

            assertThat(replaced).isTrue();
            CompletableFuture<JobStatus> status = first.status("unknown");
            loop.advance(0);
            assertThat(status).isCompletedExceptionally();
        }

        @Test
        void restartsNothingWhileALeaseMayBeValid() {
            Dispatcher first = claim();
            FakeAgent silent = new FakeAgent("a", loop);
            submit(first, job("j", 1, false));
            silent.exchange(first);

            Dispatcher second = claim();
            FakeAgent other = new FakeAgent("b", loop);
            other.instance = "i-2";
            long latestExpiryMillis =
                    TIMINGS.maxProofAgeMillis() + TIMINGS.latestLeaseExpiryMillis();
            for (long waited = 0; waited + 1_300 < latestExpiryMillis; waited += 1_200) {
                assertThat(other.exchange(second).starts()).isEmpty();
            }
            loop.advance(2_000);
            other.exchange(second);
            other.exchange(second);

            assertThat(other.running).extracting(RunStatus::run).containsExactly(2);
        }

        @Test
        void findsASubmissionWhoseAppendResponseWasLost() {
            claim();
            log.setAppendFault(MemoryKeyedLog.Fault.ANSWER_LOST);
            storeRequest(IntakeRequest.of(job("j", 1, false)));
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);

            Dispatcher second = claim();

            assertThat(jobStatus(second, "j")).isEqualTo(JobStatus.QUEUED);
        }
    }

    @Nested
    class Leases {
        @Test
        void areNotGrantedWithoutConfirmationOfTheClaim() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            assertThat(agent.exchange(dispatcher).leaseMillis()).isEqualTo(TIMINGS.leaseMillis());
            log.setAppendFault(MemoryKeyedLog.Fault.REFUSED);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            loop.advance(TIMINGS.maxProofAgeMillis());

            assertThat(agent.exchange(dispatcher).leaseMillis()).isZero();
        }

        @Test
        void areNotGrantedAfterASuspensionUntilTheClaimIsConfirmed() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            agent.exchange(dispatcher);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            loop.shiftWallClock(10_000);

            assertThat(agent.exchange(dispatcher).leaseMillis()).isZero();
        }

        @Test
        void endTheRunsOfASilentAgentOnExpiry() {
            Dispatcher dispatcher = claim();
            FakeAgent silent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 1, false));
            silent.exchange(dispatcher);
            FakeAgent other = new FakeAgent("b", loop);
            other.instance = "i-2";
            loop.advance(TIMINGS.latestLeaseExpiryMillis());
            other.exchange(dispatcher);
            other.exchange(dispatcher);

            assertThat(other.running).extracting(RunStatus::run).containsExactly(2);
        }

        @Test
        void doNotDelayTheNextRunAfterTheUpstreamRestarts() {
            Dispatcher dispatcher = claim();
            FakeAgent agent = new FakeAgent("a", loop);
            submit(dispatcher, job("j", 1, false));
            agent.exchange(dispatcher);
            agent.bornMillis = 2;
            agent.running.clear();
            agent.exchange(dispatcher);
            agent.exchange(dispatcher);

            assertThat(agent.running).extracting(RunStatus::run).containsExactly(2);
        }
    }
}
