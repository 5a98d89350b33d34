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
 * Holds the content of one chart file, with names in place of constants.
 *
 * @param name the name of the chart, as in the name of its file, not null
 * @param summary what goes through these states, in a sentence; null counts as empty
 * @param initial the name of the first state, not null
 * @param events the names of all events; null counts as none
 * @param states the states by name; null counts as none
 */
public record ChartDefinition(
        String name,
        String summary,
        String initial,
        List<String> events,
        Map<String, ChartState> states) {
    /** Checks the names and copies the collections. */
    public ChartDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(initial, "initial");
        summary = summary == null ? "" : summary;
        events = events == null ? List.of() : List.copyOf(events);
        states = states == null ? Map.of() : new LinkedHashMap<>(states);
    }

    /**
     * Loads and checks a chart from the resources of this package.
     *
     * @param name the name of the chart, such as "gang", not null
     * @return the chart, never null
     * @throws InvalidChartException if there is no such file or the chart has any fault
     */
    public static ChartDefinition load(String name) {
        ChartDefinition chart = parse(name, readResource(name));
        List<ChartFault> faults = new ArrayList<>();
        if (!chart.name().equals(name)) {
            String detail = "is " + chart.name() + ", must be " + name + " as the file";
            faults.add(new ChartFault(ChartFaultType.WRONG_NAME, "name", detail));
        }
        faults.addAll(ChartChecker.check(chart));
        if (!faults.isEmpty()) {
            throw new InvalidChartException(name, faults);
        }
        return chart;
    }

    /**
     * Reads a chart without checking more than its form.
     *
     * @param name the name to report faults under, not null
     * @param text the JSON text in UTF-8, not null
     * @return the chart, never null
     * @throws InvalidChartException if the text is not of the form of a chart
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
                String detail = "no such resource beside " + ChartDefinition.class.getName();
                throw new InvalidChartException(
                        name, List.of(new ChartFault(ChartFaultType.MISSING_FILE, file, detail)));
            }
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the names of all actions that a transition names.
     *
     * @return the names in order, never null
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
