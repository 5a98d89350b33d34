package org.fescueloom.chart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Validates a state chart and collects all faults. */
final class ChartChecker {
    private final ChartDefinition chart;
    private final List<ChartFault> faults = new ArrayList<>();

    private ChartChecker(ChartDefinition chart) {
        this.chart = chart;
    }

    /**
     * Validates a chart.
     *
     * @param chart the chart, not null
     * @return the faults; empty if the chart is valid
     */
    static List<ChartFault> check(ChartDefinition chart) {
        ChartChecker checker = new ChartChecker(chart);
        checker.checkInitial();
        chart.states().forEach(checker::checkState);
        checker.checkEventsAreHandled();
        checker.checkReachability();
        return List.copyOf(checker.faults);
    }

    private void addFault(ChartFaultType type, String path, String detail) {
        faults.add(new ChartFault(type, path, detail));
    }

    private void checkInitial() {
        if (!chart.states().containsKey(chart.initial())) {
            addFault(ChartFaultType.UNKNOWN_STATE, "initial", "no state " + chart.initial());
        }
    }

    private void checkState(String name, ChartState state) {
        String path = "states." + name;
        if (state.terminal()) {
            if (!state.events().isEmpty() || !state.ignored().isEmpty()) {
                addFault(
                        ChartFaultType.EVENTS_IN_TERMINAL_STATE,
                        path,
                        "a terminal state must not list any events");
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
            addFault(
                    ChartFaultType.UNKNOWN_STATE,
                    path + ".events." + event + ".target",
                    "no state " + transition.target());
        }
    }

    private void checkDeclared(String path, String event) {
        if (!chart.events().contains(event)) {
            addFault(
                    ChartFaultType.UNKNOWN_EVENT,
                    path + "." + event,
                    "the event is not declared in the list of events");
        }
    }

    private void checkHandledOnce(String path, ChartState state, String event) {
        boolean handled = state.events().containsKey(event);
        boolean ignored = state.ignored().contains(event);
        if (!handled && !ignored) {
            addFault(
                    ChartFaultType.UNHANDLED_EVENT,
                    path + ".events." + event,
                    "the state must handle or ignore the event");
        }
        if (handled && ignored) {
            addFault(
                    ChartFaultType.CONTRADICTORY_EVENT,
                    path + ".ignored." + event,
                    "the state both handles and ignores the event");
        }
    }

    private void checkEventsAreHandled() {
        Set<String> handled = new HashSet<>();
        chart.states().values().forEach(state -> handled.addAll(state.events().keySet()));
        for (String event : chart.events()) {
            if (!handled.contains(event)) {
                addFault(
                        ChartFaultType.UNUSED_EVENT,
                        "events." + event,
                        "no state handles the event");
            }
        }
    }

    private void checkReachability() {
        Set<String> reached = reachableFrom(chart.initial());
        boolean hasTerminalState = chart.states().values().stream().anyMatch(ChartState::terminal);
        for (String name : chart.states().keySet()) {
            String path = "states." + name;
            if (!reached.contains(name)) {
                addFault(
                        ChartFaultType.UNREACHABLE_STATE,
                        path,
                        "no sequence of transitions leads to the state");
            }
            if (hasTerminalState && reachableFrom(name).stream().noneMatch(this::isTerminal)) {
                addFault(
                        ChartFaultType.DEAD_END,
                        path,
                        "no terminal state can be reached from the state");
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
