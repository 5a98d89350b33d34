package org.fescueloom.gang;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.GangResult;

/**
 * Says what a keeper does with a gang in one round.
 *
 * @param action what it does, not null
 * @param result how the attempt ends; null unless the action is {@code STOP} or {@code COMPLETE}
 * @param reason a sentence for a person, not null
 * @param workersAtFault the workers on which tasks failed; null counts as none
 * @param checkpointMillis how much of the run the checkpoints of all members hold, in milliseconds
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
            GangResult result, String reason, List<String> atFault, long checkpointMillis) {
        return new KeeperDecision(KeeperAction.STOP, result, reason, atFault, checkpointMillis);
    }
}
