package org.fescueloom.chart;

import java.util.Objects;
import java.util.Optional;

/**
 * Describes the effect of an event in a state.
 *
 * @param <S> the enum type of the states
 * @param <A> the enum type of the actions
 * @param target the state after the event, not null; the same state if the event is ignored
 * @param action the action to be performed; empty for none
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
