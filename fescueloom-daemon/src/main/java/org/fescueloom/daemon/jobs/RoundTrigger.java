package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.member.Member;
import org.fescueloom.member.MemberState;

/**
 * Decides whether a planning round could decide anything that the last one did not.
 *
 * <p>A round is due when a job record, a worker's state, the configuration or a start in progress
 * has changed, when a backoff is over, and otherwise after {@link #MAX_PAUSE_MILLIS}.
 */
public final class RoundTrigger {
    /** The longest time between two rounds, in milliseconds. */
    public static final long MAX_PAUSE_MILLIS = 5_000L;

    private RoundState lastRoundState;
    private long lastRoundMillis;

    /** Creates a trigger for which the first round is due. */
    public RoundTrigger() {}

    /**
     * Tells whether a round is due, and counts it as done if so.
     *
     * @param ledger keeps the jobs, not null
     * @param workers the workers that announced themselves, not null
     * @param document the configuration in force, not null
     * @param runner tells which gangs are being started or stopped, not null
     * @param nowMillis the time, in milliseconds since the epoch
     * @return true if a round is due
     */
    public boolean beginRoundIfDue(
            JobLedger ledger,
            List<Member> workers,
            ConfigurationDocument document,
            GangRunner runner,
            long nowMillis) {
        Objects.requireNonNull(document, "document");
        long overBackoffs =
                runner.startBackoffs().values().stream()
                        .filter(b -> b.notBeforeMillis() <= nowMillis)
                        .count();
        RoundState now =
                new RoundState(
                        ledger.nextOffset(),
                        workers.stream().map(RoundTrigger::workerState).toList(),
                        System.identityHashCode(document),
                        runner.jobsInTransition().hashCode(),
                        overBackoffs);
        boolean due =
                !now.equals(lastRoundState) || nowMillis - lastRoundMillis >= MAX_PAUSE_MILLIS;
        if (due) {
            lastRoundState = now;
            lastRoundMillis = nowMillis;
        }
        return due;
    }

    private static WorkerState workerState(Member worker) {
        return new WorkerState(worker.id(), worker.announcement().incarnation(), worker.state());
    }

    private record WorkerState(String worker, long incarnation, MemberState state) {}

    private record RoundState(
            long nextOffset,
            List<WorkerState> workers,
            int configurationIdentity,
            int jobsInTransitionHash,
            long expiredBackoffs) {}
}
