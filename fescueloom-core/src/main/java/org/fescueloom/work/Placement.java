package org.fescueloom.work;

import java.util.Objects;

/**
 * Says where a run of a task may exist.
 *
 * @param agent the agent that guards the upstream, not null
 * @param boot the life of the upstream that the run was meant for, not null
 */
public record Placement(String agent, String boot) {
    /** Checks the values. */
    public Placement {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(boot, "boot");
    }
}
