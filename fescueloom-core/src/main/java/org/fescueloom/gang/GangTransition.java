package org.fescueloom.gang;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds the effect of one event on a gang attempt.
 *
 * @param run the lifecycle after the event, not null
 * @param action the action to carry out for every member, not null; empty for none
 */
public record GangTransition(GangLifecycle run, Optional<GangAction> action) {
    /** Checks that no component is null. */
    public GangTransition {
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(action, "action");
    }
}
