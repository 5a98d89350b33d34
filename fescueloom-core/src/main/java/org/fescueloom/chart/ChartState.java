package org.fescueloom.chart;

import java.util.List;
import java.util.Map;

/**
 * Describes one state in the file of a chart.
 *
 * @param summary what the state means, in a sentence; null counts as empty
 * @param events the transitions by the name of the event; null counts as none
 * @param ignored the names of the events that change nothing here; null counts as none
 * @param terminal whether the chart ends here; such a state ignores every event; null counts as
 *     false
 */
public record ChartState(
        String summary,
        Map<String, ChartTransition> events,
        List<String> ignored,
        Boolean terminal) {
    /** Copies the collections. */
    public ChartState {
        terminal = terminal != null && terminal;
        summary = summary == null ? "" : summary;
        events = events == null ? Map.of() : Map.copyOf(events);
        ignored = ignored == null ? List.of() : List.copyOf(ignored);
    }
}
