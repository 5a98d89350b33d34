package org.fescueloom.chart;

import java.util.Objects;

/**
 * Describes one transition in the file of a chart.
 *
 * @param target the name of the state that the chart goes to, not null
 * @param action the name of what is to be done on the way; null for nothing
 */
public record ChartTransition(String target, String action) {
    /** Checks that the target is given. */
    public ChartTransition {
        Objects.requireNonNull(target, "target");
    }
}
