package org.fescueloom.chart;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/**
 * Holds the content of one chart file. States, events and actions are represented by their names.
 *
 * @param name the name of the chart, equal to the file name without extension, not null
 * @param summary a sentence that describes the object whose states the chart defines; null is
 *     treated as empty
 * @param initial the name of the initial state, not null
 * @param events the names of all events; null is treated as none
 * @param states the states by name; null is treated as none
 */
public record ChartDefinition(
        String name,
        String summary,
        String initial,
        List<String> events,
        Map<String, ChartState> states) {
    /** Checks that the names are not null and copies the collections. */
    public ChartDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(initial, "initial");
        summary = summary == null ? "" : summary;
        events = events == null ? List.of() : List.copyOf(events);
        states = states == null ? Map.of() : new LinkedHashMap<>(states);
    }

    /**
     * Loads a chart from the resources of this package and validates it.
     *
     * @param name the name of the chart, such as "gang", not null
     * @return the chart, never null
     * @throws InvalidChartException if the file does not exist or the chart has a fault
     */
    public static ChartDefinition load(String name) {
        ChartDefinition chart = parse(name, readResource(name));
        List<ChartFault> faults = new ArrayList<>();
        if (!chart.name().equals(name)) {
            String detail = "is " + chart.name() + ", must be " + name + " as in the file name";
            faults.add(new ChartFault(ChartFaultType.WRONG_NAME, "name", detail));
        }
        faults.addAll(ChartChecker.check(chart));
        if (!faults.isEmpty()) {
            throw new InvalidChartException(name, faults);
        }
        return chart;
    }

    /**
     * Parses a chart without validating its states and events.
     *
     * @param name the name of the chart for fault messages, not null
     * @param text the JSON text in UTF-8, not null
     * @return the chart, never null
     * @throws InvalidChartException if the text does not have the form of a chart
     */
    static ChartDefinition parse(String name, byte[] text) {
        try {
            return Json.readStrict(text, ChartDefinition.class);
        } catch (SchedulerException e) {
            throw new InvalidChartException(
                    name,
                    List.of(
                            new ChartFault(
                                    ChartFaultType.MALFORMED_FILE,
                                    name + ".json",
                                    e.getMessage())));
        }
    }

    private static byte[] readResource(String name) {
        String file = Objects.requireNonNull(name, "name") + ".json";
        try (InputStream in = ChartDefinition.class.getResourceAsStream(file)) {
            if (in == null) {
                String detail =
                        "no such resource in the package of " + ChartDefinition.class.getName();
                throw new InvalidChartException(
                        name, List.of(new ChartFault(ChartFaultType.MISSING_FILE, file, detail)));
            }
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the names of the actions of all transitions.
     *
     * @return the names in ascending order, never null
     */
    Set<String> actions() {
        Set<String> actions = new TreeSet<>();
        for (ChartState state : states.values()) {
            for (ChartTransition transition : state.events().values()) {
                if (transition.action() != null) {
                    actions.add(transition.action());
                }
            }
        }
        return actions;
    }
}
