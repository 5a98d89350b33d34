package org.fescueloom.chart;

import java.util.Objects;

/**
 * Describes one transition in the file of a chart.
 *
 * @param target the name of the next state, not null
 * @param action the name of the action to be performed on the transition; null for none
 */
public record ChartTransition(String target, String action) {
    /** Checks that the target is not null. */
    public ChartTransition {
        Objects.requireNonNull(target, "target");
    }
}
