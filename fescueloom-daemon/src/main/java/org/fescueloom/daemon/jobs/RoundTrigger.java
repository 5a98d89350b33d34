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
 * has changed, when a backoff is over, and otherwise after {@link #LONGEST_PAUSE_MILLIS}.
 */
public final class RoundTrigger {
    /** The longest time between two rounds, in milliseconds. */
    public static final long LONGEST_PAUSE_MILLIS = 5_000L;

    private Situation planned;
    private long plannedAtMillis;

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
    public boolean isDue(
            JobLedger ledger,
            List<Member> workers,
            ConfigurationDocument document,
            GangRunner runner,
            long nowMillis) {
        Objects.requireNonNull(document, "document");
        long overBackoffs =
                runner.backoffs().values().stream()
                        .filter(b -> b.notBeforeMillis() <= nowMillis)
                        .count();
        Situation now =
                new Situation(
                        ledger.nextOffset(),
                        workers.stream().map(RoundTrigger::state).toList(),
                        System.identityHashCode(document),
                        runner.busy().hashCode(),
                        overBackoffs);
        boolean due = !now.equals(planned) || nowMillis - plannedAtMillis >= LONGEST_PAUSE_MILLIS;
        if (due) {
            planned = now;
            plannedAtMillis = nowMillis;
        }
        return due;
    }

    private static WorkerState state(Member worker) {
        return new WorkerState(worker.id(), worker.announcement().incarnation(), worker.state());
    }

    private record WorkerState(String worker, long incarnation, MemberState state) {}

    private record Situation(
            long nextOffset,
            List<WorkerState> workers,
            int document,
            int busy,
            long overBackoffs) {}
}
