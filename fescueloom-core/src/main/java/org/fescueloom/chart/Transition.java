package org.fescueloom.chart;

import java.util.Objects;
import java.util.Optional;

/**
 * Describes what an event leads to.
 *
 * @param <S> the states
 * @param <A> the actions
 * @param target the state after the event, not null; the same state if the event is ignored
 * @param action what is to be done on the way; empty for nothing
 * @param ignored whether the event changes nothing in this state
 */
public record Transition<S extends Enum<S>, A extends Enum<A>>(
        S target, Optional<A> action, boolean ignored) {
    /** Checks that no component is null. */
    public Transition {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(action, "action");
    }
}
