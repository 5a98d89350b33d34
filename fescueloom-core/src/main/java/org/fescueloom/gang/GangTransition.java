package org.fescueloom.gang;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds what one event did to a gang.
 *
 * @param run the gang after the event, not null
 * @param action what is to be done now for every member; empty for nothing
 */
public record GangTransition(GangLifecycle run, Optional<GangAction> action) {
    /** Checks that no component is null. */
    public GangTransition {
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(action, "action");
    }
}
