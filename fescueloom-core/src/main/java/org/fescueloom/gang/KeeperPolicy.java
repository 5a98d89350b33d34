package org.fescueloom.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangResult;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerReport;

/**
 * Decides in each round whether the leases of a gang are renewed.
 *
 * <p>Any number of keepers may watch one gang, for their actions can be repeated safely. The rules,
 * in order:
 *
 * <ol>
 *   <li>Every task ended with success: complete.
 *   <li>A task failed: stop.
 *   <li>The job is cancelled: stop.
 *   <li>A worker answered and has no such lease, or its task was stopped: stop, but only wait while
 *       the gang may still be starting.
 *   <li>A worker has not answered for a whole lease: stop.
 *   <li>A worker did not answer, a task has not started, or the view of the log is not valid: wait.
 *   <li>Otherwise every member runs or has succeeded: renew.
 * </ol>
 */
public final class KeeperPolicy {
    private KeeperPolicy() {}

    /**
     * Decides one round.
     *
     * @param gang what is known of the gang, not null
     * @param terms the bounds, not null
     * @return the decision, never null
     */
    public static KeeperDecision decide(GangObservation gang, LeaseTimings terms) {
        Members members = new Members(gang);
        long checkpoint = Math.max(gang.checkpointMillis(), members.checkpointMillis());
        if (members.succeeded == members.total) {
            return new KeeperDecision(
                    KeeperAction.COMPLETE,
                    GangResult.SUCCEEDED,
                    "every task ended with success",
                    null,
                    checkpoint);
        }
        if (!members.failedOn.isEmpty()) {
            String reason = "a task failed on " + String.join(", ", members.failedOn);
            return KeeperDecision.stop(GangResult.FAILED, reason, members.failedOn, checkpoint);
        }
        if (gang.cancelled()) {
            String reason = "cancelled by the caller";
            return KeeperDecision.stop(GangResult.CANCELLED, reason, null, checkpoint);
        }
        boolean starting = gang.knownMillis() < terms.startBoundMillis();
        if (!members.goneFrom.isEmpty() && !starting) {
            String reason = "no lease or task left on " + String.join(", ", members.goneFrom);
            return KeeperDecision.stop(GangResult.LOST, reason, null, checkpoint);
        }
        if (!members.silent.isEmpty() && gang.silentMillis() >= terms.ttlMillis()) {
            String reason = "no answer from " + String.join(", ", members.silent);
            return KeeperDecision.stop(GangResult.LOST, reason, null, checkpoint);
        }
        if (members.running + members.succeeded < members.total) {
            return KeeperDecision.waiting("not every member is known to run");
        }
        if (!gang.viewValid()) {
            return KeeperDecision.waiting("the view of the jobs stream is too old");
        }
        return new KeeperDecision(KeeperAction.RENEW, null, "every member runs", null, checkpoint);
    }

    /** Counts the members by what their workers report. */
    private static final class Members {
        private final List<String> failedOn = new ArrayList<>();
        private final List<String> goneFrom = new ArrayList<>();
        private final List<String> silent = new ArrayList<>();
        private final int total;
        private int running;
        private int succeeded;
        private long leastCheckpoint = Long.MAX_VALUE;

        Members(GangObservation gang) {
            total = gang.placed().members().size();
            for (GangMember member : gang.placed().members()) {
                WorkerReport report = gang.reports().get(member.worker());
                if (report == null) {
                    silent.add(member.worker());
                    leastCheckpoint = 0L;
                } else {
                    count(member, report);
                }
            }
        }

        private void count(GangMember member, WorkerReport report) {
            Optional<LeaseReport> lease =
                    report.leases().stream()
                            .filter(l -> l.lease().equals(member.lease()))
                            .findFirst();
            if (lease.isEmpty()) {
                goneFrom.add(member.worker());
                leastCheckpoint = 0L;
                return;
            }
            Optional<TaskReport> task =
                    lease.get().tasks().stream()
                            .filter(t -> t.task().equals(member.task()))
                            .findFirst();
            task.ifPresent(t -> count(member, t));
            long checkpoint = task.map(TaskReport::checkpointMillis).orElse(0L);
            leastCheckpoint = Math.min(leastCheckpoint, checkpoint);
        }

        private void count(GangMember member, TaskReport task) {
            if (task.state() == TaskState.RUNNING) {
                running++;
            } else if (task.state() == TaskState.SUCCEEDED) {
                succeeded++;
            } else if (task.state() == TaskState.FAILED) {
                failedOn.add(member.worker());
            } else {
                goneFrom.add(member.worker());
            }
        }

        long checkpointMillis() {
            return leastCheckpoint == Long.MAX_VALUE ? 0L : leastCheckpoint;
        }
    }
}
