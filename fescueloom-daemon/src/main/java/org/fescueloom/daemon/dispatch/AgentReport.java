package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.Objects;
import org.fescueloom.fleet.UpstreamNotice;

/**
 * Reports the state of an upstream to the dispatcher.
 *
 * @param agent the name of the agent, not null
 * @param process the process ID of the agent: a random UUID, new with each start of the agent, not
 *     null
 * @param sequence the number of the report, increasing within one incarnation of the agent
 * @param epoch the highest epoch that the agent has received
 * @param notice the last notice of the upstream that answered last; null if none has answered
 * @param looked whether the incarnation in {@code notice} has answered a poll with its own token
 * @param lookAgeMillis the age of {@code running} and {@code ended}, which is the time since the
 *     last successful poll, in milliseconds
 * @param running the runs that exist on the upstream, not null
 * @param ended the ended runs with the lowest numbers that are not acknowledged, not null
 * @param allEndsListed whether {@code ended} holds all ended runs that are not acknowledged;
 *     otherwise a run that is in neither list may have ended; false if null, as in reports of
 *     earlier versions
 * @param barred the runs that are confirmed not to exist and that the upstream will refuse to
 *     start, not null
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
        Boolean allEndsListed,
        List<StopOrder> barred) {
    /** Checks the values. */
    public AgentReport {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(process, "process");
        running = List.copyOf(running);
        ended = List.copyOf(ended);
        allEndsListed = Objects.requireNonNullElse(allEndsListed, false);
        barred = List.copyOf(barred);
    }

    /** Returns a copy of this report with another notice. */
    AgentReport withNotice(UpstreamNotice newNotice) {
        return new AgentReport(
                agent,
                process,
                sequence,
                epoch,
                newNotice,
                looked,
                lookAgeMillis,
                running,
                ended,
                allEndsListed,
                barred);
    }
}
