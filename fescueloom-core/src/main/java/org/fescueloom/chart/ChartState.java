package org.fescueloom.chart;

import java.util.List;
import java.util.Map;

/**
 * Describes one state in the file of a chart.
 *
 * @param summary a sentence that describes the state; null is treated as empty
 * @param events the transitions by event name; null is treated as none
 * @param ignored the names of the events that change nothing in this state; null is treated as none
 * @param terminal whether the state is terminal; a terminal state ignores every event; null is
 *     treated as false
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
