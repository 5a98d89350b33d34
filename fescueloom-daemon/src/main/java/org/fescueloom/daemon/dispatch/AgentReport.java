package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.Objects;
import org.fescueloom.fleet.UpstreamNotice;

/**
 * Tells the dispatcher what an agent sees of its upstream.
 *
 * @param agent the name of the agent, not null
 * @param process names this life of the agent, not null
 * @param sequence grows with each report of one life of the agent
 * @param epoch the highest epoch that the agent has seen
 * @param notice what the upstream said last; null if nothing was heard of it
 * @param looked whether the upstream was looked at since the agent knows of this life of it
 * @param lookAgeMillis how old {@code running} and {@code ended} are, in milliseconds
 * @param running what runs, not null
 * @param ended what has ended and was not acknowledged, not null
 * @param barred runs that surely do not exist and never will, not null
 */
public record AgentReport(
        String agent,
        String process,
        long sequence,
        long epoch,
        UpstreamNotice notice,
        boolean looked,
        long lookAgeMillis,
        List<RunStatus> running,
        List<EndedRun> ended,
        List<StopOrder> barred) {
    /** Checks the values. */
    public AgentReport {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(process, "process");
        running = List.copyOf(running);
        ended = List.copyOf(ended);
        barred = List.copyOf(barred);
    }
}
