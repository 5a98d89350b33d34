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
 * Decides in each round of a lease keeper whether the keeper renews the leases of a gang, waits,
 * stops the gang or completes it.
 *
 * <p>Several keepers may renew the leases of one gang, because an action that two keepers take has
 * the same effect as one. The first rule that matches applies:
 *
 * <ol>
 *   <li>Every task ended with success: complete.
 *   <li>A task failed: stop.
 *   <li>The job is cancelled: stop.
 *   <li>A worker reported that it does not have the lease or that the task was stopped, and {@link
 *       LeaseTimings#startBoundMillis()} have passed since this keeper learned of the gang: stop.
 *   <li>A worker did not respond in this round, and {@link GangObservation#silentMillis()} is at
 *       least the duration of a lease: stop.
 *   <li>A member is not known to run or to have succeeded, or the view of the {@code jobs} stream
 *       is not valid: wait.
 *   <li>Otherwise every member runs or has succeeded: renew.
 * </ol>
 */
public final class KeeperPolicy {
    private KeeperPolicy() {}

    /**
     * Decides what a keeper does with a gang in one round.
     *
     * @param gang the observation of the gang, not null
     * @param timings the times that bound a start and a lease, not null
     * @return the decision, never null
     */
    public static KeeperDecision decide(GangObservation gang, LeaseTimings timings) {
        MemberTally members = new MemberTally(gang);
        // A checkpoint that all members had in an earlier round stays usable when a worker is
        // silent.
        long checkpointedRunMillis = Math.max(gang.checkpointMillis(), members.checkpointMillis());
        if (members.succeeded == members.total) {
            return new KeeperDecision(
                    KeeperAction.COMPLETE,
                    GangResult.SUCCEEDED,
                    "every task ended with success",
                    null,
                    checkpointedRunMillis);
        }
        if (!members.failedOn.isEmpty()) {
            String reason = "a task failed on " + String.join(", ", members.failedOn);
            return KeeperDecision.stop(
                    GangResult.FAILED, reason, members.failedOn, checkpointedRunMillis);
        }
        if (gang.cancelled()) {
            String reason = "cancelled by the caller";
            return KeeperDecision.stop(GangResult.CANCELLED, reason, null, checkpointedRunMillis);
        }
        boolean starting = gang.knownMillis() < timings.startBoundMillis();
        if (!members.lostOn.isEmpty() && !starting) {
            String reason =
                    "the lease is missing, or the task was stopped, on "
                            + String.join(", ", members.lostOn);
            return KeeperDecision.stop(GangResult.LOST, reason, null, checkpointedRunMillis);
        }
        if (!members.silentWorkers.isEmpty() && gang.silentMillis() >= timings.ttlMillis()) {
            String reason =
                    "no round with a response of every worker for "
                            + gang.silentMillis()
                            + " ms, limit "
                            + timings.ttlMillis()
                            + " ms; no response from "
                            + String.join(", ", members.silentWorkers);
            return KeeperDecision.stop(GangResult.LOST, reason, null, checkpointedRunMillis);
        }
        if (members.running + members.succeeded < members.total) {
            return KeeperDecision.waiting(
                    members.running
                            + members.succeeded
                            + " of "
                            + members.total
                            + " members are known to run or to have succeeded");
        }
        if (!gang.viewValid()) {
            return KeeperDecision.waiting(
                    "the view of the jobs stream is older than the limit, and not every known entry"
                            + " reports that it cannot reach the log service");
        }
        return new KeeperDecision(
                KeeperAction.RENEW,
                null,
                "every member runs or has succeeded",
                null,
                checkpointedRunMillis);
    }

    /**
     * Counts the members by the state that their workers report, and finds the least run time that
     * their checkpoints cover.
     */
    private static final class MemberTally {
        private final List<String> failedOn = new ArrayList<>();

        /** The workers that do not have the lease, or that stopped the task. */
        private final List<String> lostOn = new ArrayList<>();

        private final List<String> silentWorkers = new ArrayList<>();
        private final int total;
        private int running;
        private int succeeded;

        /**
         * {@code Long.MAX_VALUE} before the first member; 0 if a member has no known checkpoint.
         */
        private long minCheckpointMillis = Long.MAX_VALUE;

        MemberTally(GangObservation gang) {
            total = gang.placed().members().size();
            for (GangMember member : gang.placed().members()) {
                WorkerReport report = gang.reports().get(member.worker());
                if (report == null) {
                    silentWorkers.add(member.worker());
                    minCheckpointMillis = 0L;
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
                lostOn.add(member.worker());
                minCheckpointMillis = 0L;
                return;
            }
            Optional<TaskReport> task =
                    lease.get().tasks().stream()
                            .filter(t -> t.task().equals(member.task()))
                            .findFirst();
            // A lease without its task is counted nowhere: the task has not started yet.
            task.ifPresent(t -> count(member, t));
            long checkpoint = task.map(TaskReport::checkpointMillis).orElse(0L);
            minCheckpointMillis = Math.min(minCheckpointMillis, checkpoint);
        }

        private void count(GangMember member, TaskReport task) {
            if (task.state() == TaskState.RUNNING) {
                running++;
            } else if (task.state() == TaskState.SUCCEEDED) {
                succeeded++;
            } else if (task.state() == TaskState.FAILED) {
                failedOn.add(member.worker());
            } else {
                lostOn.add(member.worker());
            }
        }

        long checkpointMillis() {
            return minCheckpointMillis == Long.MAX_VALUE ? 0L : minCheckpointMillis;
        }
    }
}
