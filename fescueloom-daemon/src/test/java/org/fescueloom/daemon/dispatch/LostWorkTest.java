package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.loss.LossCause;
import org.fescueloom.work.Resources;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that a dispatcher counts the work of runs without a result, under the right cause. */
class LostWorkTest {
    /** Each task of the samples needs one core and one accelerator, which counts as eight. */
    private static final double CORES_PER_TASK = 9.0;

    private static final int ACCELERATORS = 8;
    private static final long ESTIMATE_MILLIS = 1_000;

    /** Work is stopped only for urgent work that is larger than what is lost. */
    private static final long URGENT_ESTIMATE_MILLIS = 10_000;

    private static final long MAX_WAIT_MILLIS = 60_000;

    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("a", bed.loop());

    /** Starts all tasks of a job. No report has listed them when this method returns. */
    private Dispatcher start(Submission job) {
        Dispatcher dispatcher = bed.claim();
        agent.exchange(dispatcher);
        bed.submit(dispatcher, job);
        agent.exchange(dispatcher);
        assertThat(agent.running).hasSize(job.work().steps().get(0).count());
        return dispatcher;
    }

    private static Submission job(int tasks, boolean gang, boolean checkpoints) {
        return JobSamples.job("j", tasks, ESTIMATE_MILLIS, gang, checkpoints);
    }

    private static Submission urgentJob(int tasks) {
        WorkSpec work = JobSamples.job("u", tasks, URGENT_ESTIMATE_MILLIS, false, false).work();
        return new Submission("u", "urgent", "customer", "service", 0, work);
    }

    private void exchangeUntilStopped(Dispatcher dispatcher) {
        long start = bed.loop().nowMillis();
        while (agent.exchange(dispatcher).stops().isEmpty()) {
            assertThat(bed.loop().nowMillis() - start).isLessThan(MAX_WAIT_MILLIS);
        }
    }

    private void setCheckpoints(String checkpoint) {
        agent.running.replaceAll(r -> new RunStatus(r.task(), r.run(), checkpoint, 100, 0));
    }

    /** Ends all runs, and reports the ends; returns when. */
    private long endAll(Dispatcher dispatcher, RunEnd end) {
        while (!agent.running.isEmpty()) {
            agent.end(end);
        }
        long now = bed.loop().nowMillis();
        agent.report(dispatcher);
        return now;
    }

    private double lost(LossCause cause) {
        return (double)
                bed.metrics().registry().getGauges().get("lost-work." + cause.text()).getValue();
    }

    /** Checks that work was lost for this cause and for no other. */
    private void assertLostOnly(LossCause cause, double coreSeconds) {
        for (LossCause each : LossCause.values()) {
            assertThat(lost(each))
                    .as(each.text())
                    .isCloseTo(each == cause ? coreSeconds : 0.0, within(1e-9));
        }
    }

    private static double coreSeconds(int tasks, long sinceMillis, long untilMillis) {
        return CORES_PER_TASK * tasks * (untilMillis - sinceMillis) / 1_000.0;
    }

    @Nested
    class WithoutCheckpoints {
        // Guards against preempted work that is counted as cancelled, the cause of a plain stop.
        @Test
        void countsAPreemptedStepFromItsFirstListing() {
            bed.addUrgentQueue("urgent");
            Dispatcher dispatcher = start(job(ACCELERATORS, false, false));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            bed.submit(dispatcher, urgentJob(ACCELERATORS));
            exchangeUntilStopped(dispatcher);
            long ended = endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.PREEMPTED, coreSeconds(ACCELERATORS, listed, ended));
        }

        @Test
        void countsAnOverdueRun() {
            Dispatcher dispatcher = start(job(1, false, false));
            long listed = bed.loop().nowMillis();
            exchangeUntilStopped(dispatcher);
            long ended = endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.OVERDUE, coreSeconds(1, listed, ended));
        }

        @Test
        void countsARunThatIsStoppedBeforeItsUpstreamLeaves() {
            Dispatcher dispatcher = start(job(1, false, false));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            agent.state = UpstreamState.DRAINING;
            exchangeUntilStopped(dispatcher);
            long ended = endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.UPSTREAM_LEAVING, coreSeconds(1, listed, ended));
        }

        @Test
        void countsARunWhoseLeaseExpired() {
            Dispatcher dispatcher = start(job(1, false, false));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            long silentSince = bed.loop().nowMillis();
            while (lost(LossCause.LEASE_EXPIRED) == 0) {
                bed.loop().advance(1);
                assertThat(bed.loop().nowMillis() - silentSince).isLessThan(MAX_WAIT_MILLIS);
            }

            assertLostOnly(LossCause.LEASE_EXPIRED, coreSeconds(1, listed, bed.loop().nowMillis()));
        }

        @Test
        void countsAFailedRun() {
            Dispatcher dispatcher = start(job(1, false, false));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            long ended = endAll(dispatcher, RunEnd.FAILED);

            assertLostOnly(LossCause.FAILED, coreSeconds(1, listed, ended));
        }

        @Test
        void countsARunWhoseJobIsCancelled() {
            Dispatcher dispatcher = start(job(1, false, false));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            bed.cancel("j");
            long ended = endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.CANCELLED, coreSeconds(1, listed, ended));
        }

        // Guards against a later reason that hides the one for which the run was stopped.
        @Test
        void keepsTheFirstOfTwoReasons() {
            Dispatcher dispatcher = start(job(1, false, false));
            long listed = bed.loop().nowMillis();
            exchangeUntilStopped(dispatcher);
            bed.cancel("j");
            long ended = endAll(dispatcher, RunEnd.FAILED);

            assertLostOnly(LossCause.OVERDUE, coreSeconds(1, listed, ended));
        }
    }

    @Nested
    class WithCheckpoints {
        /** Lists a checkpoint, and returns when. */
        private long saveCheckpoint(Dispatcher dispatcher, String checkpoint) {
            agent.exchange(dispatcher);
            setCheckpoints(checkpoint);
            long saved = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            return saved;
        }

        // Guards against work that is counted as lost though the next run resumes after it.
        @Test
        void countsAPreemptedStepFromItsLastCheckpoint() {
            bed.addUrgentQueue("urgent");
            Dispatcher dispatcher = start(job(ACCELERATORS, false, true));
            long saved = saveCheckpoint(dispatcher, "c1");
            bed.submit(dispatcher, urgentJob(ACCELERATORS));
            exchangeUntilStopped(dispatcher);
            long ended = endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.PREEMPTED, coreSeconds(ACCELERATORS, saved, ended));
        }

        @Test
        void countsARunWithoutProgressFromItsLastCheckpoint() {
            Dispatcher dispatcher = start(job(1, false, true));
            long saved = saveCheckpoint(dispatcher, "c1");
            exchangeUntilStopped(dispatcher);
            long ended = endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.NO_PROGRESS, coreSeconds(1, saved, ended));
        }

        @Test
        void countsARunWhoseUpstreamRestartedFromItsLastCheckpoint() {
            Dispatcher dispatcher = start(job(1, false, true));
            long saved = saveCheckpoint(dispatcher, "c1");
            agent.restartUpstream();
            long ended = bed.loop().nowMillis();
            agent.report(dispatcher);

            assertLostOnly(LossCause.UPSTREAM_GONE, coreSeconds(1, saved, ended));
        }

        @Test
        void countsAFailedRunWithoutACheckpointFromItsFirstListing() {
            Dispatcher dispatcher = start(job(1, false, true));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            long ended = endAll(dispatcher, RunEnd.FAILED);

            assertLostOnly(LossCause.FAILED, coreSeconds(1, listed, ended));
        }

        // Guards against work that is counted as lost because only the end names its checkpoint.
        @Test
        void countsACheckpointThatTheEndNamesAsSaved() {
            Dispatcher dispatcher = start(job(1, false, true));
            saveCheckpoint(dispatcher, "c1");
            RunStatus run = agent.running.remove(0);
            agent.ended.add(new EndedRun(1, run.task(), run.run(), RunEnd.FAILED, "c2"));
            agent.report(dispatcher);

            assertLostOnly(LossCause.FAILED, 0);
        }

        @Test
        void countsNothingSavedByAnEndThatNamesTheKnownCheckpoint() {
            Dispatcher dispatcher = start(job(1, false, true));
            long saved = saveCheckpoint(dispatcher, "c1");
            RunStatus run = agent.running.remove(0);
            agent.ended.add(new EndedRun(1, run.task(), run.run(), RunEnd.FAILED, "c1"));
            long ended = bed.loop().nowMillis();
            agent.report(dispatcher);

            assertLostOnly(LossCause.FAILED, coreSeconds(1, saved, ended));
        }
    }

    @Nested
    class Gangs {
        // Guards against a failure whose effect on the other members hides among the failed runs.
        @Test
        void countTheMembersBesideAFailedOneAsBroken() {
            Dispatcher dispatcher = start(job(3, true, false));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            agent.end(RunEnd.FAILED);
            long ended = endAll(dispatcher, RunEnd.BROKEN);

            assertThat(lost(LossCause.FAILED))
                    .isCloseTo(coreSeconds(1, listed, ended), within(1e-9));
            assertThat(lost(LossCause.GANG_BROKEN))
                    .isCloseTo(coreSeconds(2, listed, ended), within(1e-9));
        }

        @Test
        void countMembersThatWaitedAsIncomplete() {
            Dispatcher dispatcher = start(job(2, true, false));
            long listed = bed.loop().nowMillis();
            agent.exchange(dispatcher);
            long ended = endAll(dispatcher, RunEnd.ALONE);

            assertLostOnly(LossCause.GANG_INCOMPLETE, coreSeconds(2, listed, ended));
        }

        @Test
        void loseNothingOnceOneMemberIsDone() {
            Dispatcher dispatcher = start(job(3, true, false));
            agent.exchange(dispatcher);
            agent.end(RunEnd.DONE);
            agent.exchange(dispatcher);
            endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.SUPERSEDED, 0);
        }

        // Guards against members of a stuck gang that are counted as cancelled.
        @Test
        void countAllMembersUnderTheReasonOfTheStop() {
            Dispatcher dispatcher = start(job(3, true, true));
            long listed = bed.loop().nowMillis();
            exchangeUntilStopped(dispatcher);
            long ended = endAll(dispatcher, RunEnd.STOPPED);

            assertLostOnly(LossCause.NO_PROGRESS, coreSeconds(3, listed, ended));
        }
    }

    @Nested
    class WithoutLoss {
        @Test
        void isARunThatIsDone() {
            Dispatcher dispatcher = start(job(1, false, false));
            agent.exchange(dispatcher);
            endAll(dispatcher, RunEnd.DONE);

            assertLostOnly(LossCause.CANCELLED, 0);
        }

        @Test
        void isARunThatNoPollHasListed() {
            Dispatcher dispatcher = start(job(1, false, false));
            endAll(dispatcher, RunEnd.FAILED);

            assertLostOnly(LossCause.FAILED, 0);
        }

        // Guards against days of service that count as lost when an endless task is stopped.
        @Test
        void isAnEndlessRun() {
            StepSpec step =
                    new StepSpec(
                            1,
                            new Resources(1_000, 100, 1),
                            ESTIMATE_MILLIS,
                            List.of(),
                            false,
                            false,
                            "",
                            "",
                            0,
                            false,
                            false,
                            true,
                            "",
                            0,
                            false,
                            0);
            WorkSpec work = new WorkSpec("payload", List.of(step), 0, 0, 1);
            Dispatcher dispatcher =
                    start(new Submission("j", "queue", "customer", "service", 0, work));
            agent.exchange(dispatcher);
            endAll(dispatcher, RunEnd.FAILED);

            assertLostOnly(LossCause.FAILED, 0);
        }
    }

    @Nested
    class Takeover {
        // Guards against gauges that fail to register again, or show an earlier dispatcher.
        @Test
        void startsWithAnEmptyAccountInTheSameProcess() {
            Dispatcher first = start(job(1, false, false));
            agent.exchange(first);
            endAll(first, RunEnd.FAILED);
            assertThat(lost(LossCause.FAILED)).isPositive();

            Dispatcher second = bed.claim();
            assertLostOnly(LossCause.FAILED, 0);
            while (agent.running.isEmpty()) {
                agent.exchange(second);
            }
            long listed = bed.loop().nowMillis();
            agent.exchange(second);
            long ended = endAll(second, RunEnd.FAILED);

            assertLostOnly(LossCause.FAILED, coreSeconds(1, listed, ended));
        }
    }
}
