package org.fescueloom.gang;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.GangResult;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerReport;
import org.junit.jupiter.api.Test;

class KeeperPolicyTest {
    private static final LeaseTimings TIMINGS = LeaseTimings.DEFAULT;
    private static final GangPlaced PLACED =
            new GangPlaced("j", "a", 1, List.of(member(0), member(1)), null, 1, 1, 0, 0);

    private static GangMember member(int task) {
        return new GangMember("" + task, "w" + task, "127.0.0.1:1", "l" + task, List.of());
    }

    private static WorkerReport report(int task, TaskState state, long checkpoint) {
        TaskReport report = new TaskReport("" + task, state, 9, checkpoint);
        LeaseReport lease = new LeaseReport("l" + task, "j", "a", null, 1, List.of(report));
        return new WorkerReport("w" + task, 1, 1, List.of(lease));
    }

    /** Decides about a gang whose checkpoint of an earlier round covers 3 ms. */
    private static KeeperDecision decide(
            long known, long silent, boolean cancelled, boolean valid, WorkerReport... reports) {
        Map<String, WorkerReport> byWorker = new java.util.HashMap<>();
        for (WorkerReport report : reports) {
            byWorker.put(report.worker(), report);
        }
        return KeeperPolicy.decide(
                new GangObservation(PLACED, byWorker, known, silent, 3, cancelled, valid), TIMINGS);
    }

    @Test
    void renewsWhileEveryMemberRunsOrHasSucceededAndTheViewIsValid() {
        WorkerReport done = report(1, TaskState.SUCCEEDED, 7);
        KeeperDecision all = decide(0, 0, false, true, report(0, TaskState.RUNNING, 5), done);
        assertThat(all.action()).isEqualTo(KeeperAction.RENEW);
        assertThat(all.checkpointMillis()).isEqualTo(5);
        assertThat(decide(0, 0, false, false, report(0, TaskState.RUNNING, 5), done).action())
                .isEqualTo(KeeperAction.WAIT);
    }

    @Test
    void completesEvenWhenCancelledOnceEveryTaskSucceeded() {
        KeeperDecision all =
                decide(
                        0,
                        0,
                        true,
                        true,
                        report(0, TaskState.SUCCEEDED, 0),
                        report(1, TaskState.SUCCEEDED, 0));
        assertThat(all.action()).isEqualTo(KeeperAction.COMPLETE);
    }

    @Test
    void stopsTheGangAndNamesTheWorkerWhenATaskFails() {
        KeeperDecision failed =
                decide(
                        0,
                        0,
                        false,
                        true,
                        report(0, TaskState.FAILED, 0),
                        report(1, TaskState.RUNNING, 0));
        assertThat(failed.result()).isEqualTo(GangResult.FAILED);
        assertThat(failed.workersAtFault()).containsExactly("w0");
    }

    @Test
    void waitsForASilentWorkerAndStopsAfterOneLease() {
        WorkerReport runs = report(0, TaskState.RUNNING, 0);
        assertThat(decide(9_000, TIMINGS.ttlMillis() - 1, false, true, runs).action())
                .isEqualTo(KeeperAction.WAIT);
        KeeperDecision lost = decide(9_000, TIMINGS.ttlMillis(), false, true, runs);
        assertThat(lost.result()).isEqualTo(GangResult.LOST);
        assertThat(lost.checkpointMillis()).isEqualTo(3);
    }

    @Test
    void stopsWhenALeaseIsMissingUnlessTheGangMayStillBeStarting() {
        WorkerReport empty = new WorkerReport("w1", 1, 1, null);
        WorkerReport runs = report(0, TaskState.RUNNING, 0);
        long bound = TIMINGS.startBoundMillis();
        assertThat(decide(bound - 1, 0, false, true, runs, empty).action())
                .isEqualTo(KeeperAction.WAIT);
        assertThat(decide(bound, 0, false, true, runs, empty).result()).isEqualTo(GangResult.LOST);
    }
}
