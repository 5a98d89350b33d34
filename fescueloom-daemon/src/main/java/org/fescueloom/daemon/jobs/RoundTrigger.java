package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.member.Member;
import org.fescueloom.member.MemberState;

/**
 * Decides whether a planning round is due, that is, whether its decisions could differ from those
 * of the last round.
 *
 * <p>A round is due if a record of the {@code jobs} stream was applied, if the state of a worker,
 * the configuration, the set of jobs in transition or the number of expired start backoffs has
 * changed, or if {@link #MAX_PAUSE_MILLIS} have passed since the last round.
 */
public final class RoundTrigger {
    /** The time after which a round is due even if nothing has changed, in milliseconds. */
    public static final long MAX_PAUSE_MILLIS = 5_000L;

    /** The state at the last round, null before the first round. */
    private RoundState lastRoundState;

    private long lastRoundMillis;

    /** Creates a trigger; the first round is always due. */
    public RoundTrigger() {}

    /**
     * Tells whether a round is due. If so, stores the current state as that of the last round, so
     * the caller must run the round.
     *
     * @param ledger holds the jobs, not null
     * @param workers the workers that have announced themselves, not null
     * @param document the configuration in force, not null
     * @param runner gives the jobs in transition and the start backoffs, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return true if a round is due
     */
    public boolean beginRoundIfDue(
            JobLedger ledger,
            List<Member> workers,
            ConfigurationDocument document,
            GangRunner runner,
            long nowMillis) {
        Objects.requireNonNull(document, "document");
        long expiredBackoffs =
                runner.startBackoffs().values().stream()
                        .filter(backoff -> backoff.notBeforeMillis() <= nowMillis)
                        .count();
        RoundState current =
                new RoundState(
                        ledger.nextOffset(),
                        workers.stream().map(RoundTrigger::workerState).toList(),
                        System.identityHashCode(document),
                        runner.jobsInTransition().hashCode(),
                        expiredBackoffs);
        boolean due =
                !current.equals(lastRoundState) || nowMillis - lastRoundMillis >= MAX_PAUSE_MILLIS;
        if (due) {
            lastRoundState = current;
            lastRoundMillis = nowMillis;
        }
        return due;
    }

    private static WorkerState workerState(Member worker) {
        return new WorkerState(worker.id(), worker.announcement().incarnation(), worker.state());
    }

    /** The state of a worker on which plans depend. */
    private record WorkerState(String worker, long incarnation, MemberState state) {}

    /** The state that is compared between two rounds; the configuration is compared by identity. */
    private record RoundState(
            long nextOffset,
            List<WorkerState> workers,
            int configurationIdentity,
            int jobsInTransitionHash,
            long expiredBackoffs) {}
}
