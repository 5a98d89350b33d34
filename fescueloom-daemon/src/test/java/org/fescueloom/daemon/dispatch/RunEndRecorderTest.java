package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.loss.LossCause;
import org.fescueloom.work.Resources;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.WorkJob;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunEndRecorderTest {
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000);

    private final ManualScheduler loop = new ManualScheduler();
    private final Map<String, WorkJob> jobs = new HashMap<>();
    private final FleetView fleet =
            new FleetView(new FleetConfiguration(1, List.of(), List.of()), Set.of(), 0);
    private final DispatchState state =
            new DispatchState(
                    7,
                    new JobStore.StoredState(jobs, new HashMap<>(), Set.of(), Optional.empty()),
                    TIMINGS,
                    () -> fleet,
                    loop.logServiceContact(),
                    null,
                    new Metrics());
    private final RunEndRecorder recorder = new RunEndRecorder(state);
    private final AgentView agent = new AgentView("a", 0);

    /** Returns a run of a job of one core and one accelerator that was just listed. */
    private AssignedRun listedRun(String customer) {
        Submission sample = JobSamples.job(customer + "-job", 1, 1_000, false, false);
        Submission submission =
                new Submission(sample.id(), "queue", customer, "service", 0, sample.work());
        jobs.put(submission.id(), new WorkJob(submission));
        AssignedRun run =
                new AssignedRun(
                        new TaskKey(submission.id(), 0, 0, 0),
                        1,
                        "boot",
                        submission.work().steps().get(0),
                        true);
        run.markListed(loop.nowMillis());
        return run;
    }

    /** Records a run that lost 9 core-seconds for each second. */
    private void lose(String customer, LossCause cause, long seconds) {
        AssignedRun run = listedRun(customer);
        run.requestStop(cause);
        loop.advance(1_000 * seconds);
        recorder.recordEnd(agent, run, RunEnd.STOPPED, "", EndEvidence.LISTED);
    }

    private Optional<String> event() {
        return recorder.takeLossEvent(loop.nowMillis()).map(EventLog::toString);
    }

    @Nested
    class LossEvents {
        @Test
        void nameTheThreeLargestCausesAndTheLargestOwner() {
            lose("a", LossCause.PREEMPTED, 10);
            lose("b", LossCause.OVERDUE, 20);
            lose("a", LossCause.FAILED, 15);
            lose("c", LossCause.CANCELLED, 5);
            loop.advance(10_000);

            assertThat(event())
                    .contains(
                            "event=lost-work total=450 added=450"
                                    + " causes=overdue:180,failed:135,preempted:90"
                                    + " customer=a queue=queue largest=225 epoch=7");
        }

        // Guards against a line in each round of 100 ms.
        @Test
        void comeAtMostOnceAMinute() {
            lose("a", LossCause.PREEMPTED, 59);
            assertThat(event()).isEmpty();
            loop.advance(1_000);
            assertThat(event()).isPresent();
            lose("a", LossCause.PREEMPTED, 1);
            assertThat(event()).isEmpty();
            loop.advance(59_000);
            assertThat(event().orElseThrow()).contains("total=540 added=9 ");
        }

        @Test
        void doNotComeIfNothingWasLostSince() {
            lose("a", LossCause.PREEMPTED, 60);
            assertThat(event()).isPresent();
            loop.advance(60_000);

            assertThat(event()).isEmpty();
        }
    }

    @Nested
    class EndEvents {
        private String event(AssignedRun run, RunEnd end) {
            return recorder.endEvent(
                            agent, run, end, EndEvidence.LISTED, recorder.lossOf(run, end, ""))
                    .toString();
        }

        @Test
        void nameTheCauseAndTheLoss() {
            AssignedRun run = listedRun("a");
            loop.advance(2_000);

            assertThat(event(run, RunEnd.LAPSED)).contains(" cause=lease-expired lost=18");
        }

        // Guards against a job with wrong resources whose ends fail before they are recorded.
        @Test
        void nameNoLossForNegativeResources() {
            StepSpec step = JobSamples.step(1, new Resources(-1_000, 0, 0), 1_000, false, false);
            AssignedRun run = new AssignedRun(new TaskKey("j", 0, 0, 0), 1, "boot", step, true);
            run.markListed(loop.nowMillis());
            loop.advance(2_000);

            assertThat(event(run, RunEnd.FAILED)).contains(" cause=failed lost=0");
        }

        // Guards against successful runs that look as if they had lost work.
        @Test
        void nameNeitherForARunThatIsDone() {
            AssignedRun run = listedRun("a");
            run.requestStop(LossCause.PREEMPTED);
            loop.advance(2_000);

            assertThat(event(run, RunEnd.DONE)).doesNotContain("cause=").doesNotContain("lost=");
        }

        // Guards against members of a finished gang that are counted as lost work.
        @Test
        void nameNoLossForAMemberOfAGangThatIsDone() {
            AssignedRun run = listedRun("a");
            run.requestStop(LossCause.SUPERSEDED);
            loop.advance(2_000);

            assertThat(event(run, RunEnd.STOPPED)).contains(" cause=superseded lost=0");
        }
    }
}
