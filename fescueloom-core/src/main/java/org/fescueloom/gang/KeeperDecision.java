package org.fescueloom.gang;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.GangResult;

/**
 * Holds the decision of a lease keeper about a gang in one round.
 *
 * @param action the action of the keeper, not null
 * @param result the result of the gang attempt; null unless the action is {@code STOP} or {@code
 *     COMPLETE}
 * @param reason a description for people, not null
 * @param workersAtFault the workers on which tasks failed; null counts as none
 * @param checkpointMillis the run time that the checkpoints of all members cover, in milliseconds;
 *     0 in a decision to wait
 */
public record KeeperDecision(
        KeeperAction action,
        GangResult result,
        String reason,
        List<String> workersAtFault,
        long checkpointMillis) {
    /** Checks the components and copies the workers. */
    public KeeperDecision {
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(reason, "reason");
        workersAtFault = workersAtFault == null ? List.of() : List.copyOf(workersAtFault);
    }

    static KeeperDecision waiting(String reason) {
        return new KeeperDecision(KeeperAction.WAIT, null, reason, null, 0L);
    }

    static KeeperDecision stop(
            GangResult result, String reason, List<String> workersAtFault, long checkpointMillis) {
        return new KeeperDecision(
                KeeperAction.STOP, result, reason, workersAtFault, checkpointMillis);
    }
}
