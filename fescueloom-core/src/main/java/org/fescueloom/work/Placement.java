package org.fescueloom.work;

import java.util.Objects;

/**
 * Names the upstream on which a run of a task may exist.
 *
 * @param agent the agent of the upstream, not null
 * @param boot the boot ID of the incarnation of the upstream for which the run was started, not
 *     null
 */
public record Placement(String agent, String boot) {
    /** Checks that no component is null. */
    public Placement {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(boot, "boot");
    }
}
