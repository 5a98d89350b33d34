package org.fescueloom.chart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Finds every fault of a chart in one pass. */
final class ChartChecker {
    private final ChartDefinition chart;
    private final List<ChartFault> faults = new ArrayList<>();

    private ChartChecker(ChartDefinition chart) {
        this.chart = chart;
    }

    /**
     * Checks a chart.
     *
     * @param chart the chart, not null
     * @return the faults, empty if the chart can be used
     */
    static List<ChartFault> check(ChartDefinition chart) {
        ChartChecker checker = new ChartChecker(chart);
        checker.checkInitial();
        chart.states().forEach(checker::checkState);
        checker.checkUse();
        checker.checkReachability();
        return List.copyOf(checker.faults);
    }

    private void report(ChartFaultType type, String path, String detail) {
        faults.add(new ChartFault(type, path, detail));
    }

    private void checkInitial() {
        if (!chart.states().containsKey(chart.initial())) {
            report(ChartFaultType.UNKNOWN_STATE, "initial", "no state " + chart.initial());
        }
    }

    private void checkState(String name, ChartState state) {
        String path = "states." + name;
        if (state.terminal()) {
            if (!state.events().isEmpty() || !state.ignored().isEmpty()) {
                report(
                        ChartFaultType.EVENTS_IN_TERMINAL_STATE,
                        path,
                        "a terminal state ignores every event and names none");
            }
            return;
        }
        state.events().forEach((event, t) -> checkTransition(path, event, t));
        state.ignored().forEach(event -> checkDeclared(path + ".ignored", event));
        for (String event : chart.events()) {
            checkHandledOnce(path, state, event);
        }
    }

    private void checkTransition(String path, String event, ChartTransition transition) {
        checkDeclared(path + ".events", event);
        if (!chart.states().containsKey(transition.target())) {
            report(
                    ChartFaultType.UNKNOWN_STATE,
                    path + ".events." + event + ".target",
                    "no state " + transition.target());
        }
    }

    private void checkDeclared(String path, String event) {
        if (!chart.events().contains(event)) {
            report(
                    ChartFaultType.UNKNOWN_EVENT,
                    path + "." + event,
                    "the list of events does not name it");
        }
    }

    private void checkHandledOnce(String path, ChartState state, String event) {
        boolean handled = state.events().containsKey(event);
        boolean ignored = state.ignored().contains(event);
        if (!handled && !ignored) {
            report(
                    ChartFaultType.UNHANDLED_EVENT,
                    path + ".events." + event,
                    "must be handled or ignored by name");
        }
        if (handled && ignored) {
            report(
                    ChartFaultType.CONTRADICTORY_EVENT,
                    path + ".ignored." + event,
                    "is handled as well");
        }
    }

    private void checkUse() {
        Set<String> handled = new HashSet<>();
        chart.states().values().forEach(state -> handled.addAll(state.events().keySet()));
        for (String event : chart.events()) {
            if (!handled.contains(event)) {
                report(ChartFaultType.UNUSED_EVENT, "events." + event, "no state handles it");
            }
        }
    }

    private void checkReachability() {
        Set<String> reached = reachableFrom(chart.initial());
        boolean ends = chart.states().values().stream().anyMatch(ChartState::terminal);
        for (String name : chart.states().keySet()) {
            String path = "states." + name;
            if (!reached.contains(name)) {
                report(ChartFaultType.UNREACHABLE_STATE, path, "no transition leads here");
            }
            if (ends && reachableFrom(name).stream().noneMatch(this::isTerminal)) {
                report(ChartFaultType.DEAD_END, path, "no terminal state can be reached");
            }
        }
    }

    private boolean isTerminal(String name) {
        return chart.states().get(name).terminal();
    }

    private Set<String> reachableFrom(String start) {
        Set<String> reached = new TreeSet<>();
        Deque<String> pending = new ArrayDeque<>(List.of(start));
        while (!pending.isEmpty()) {
            String name = pending.remove();
            ChartState state = chart.states().get(name);
            if (state != null && reached.add(name)) {
                for (Map.Entry<String, ChartTransition> e : state.events().entrySet()) {
                    pending.add(e.getValue().target());
                }
            }
        }
        return reached;
    }
}
