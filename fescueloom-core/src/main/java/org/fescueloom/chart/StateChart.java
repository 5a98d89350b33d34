package org.fescueloom.chart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Represents a state chart whose states, events and actions are enum constants.
 *
 * <p>A name in the file corresponds to the constant in upper case with underscores: "timed-out" is
 * {@code TIMED_OUT}. Every name must have a constant, and every constant must have a name. A chart
 * has no guards: a condition is expressed by two events, so that an exploration of all events
 * covers every branch. Instances are immutable.
 *
 * @param <S> the enum type of the states
 * @param <E> the enum type of the events
 * @param <A> the enum type of the actions
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {
    private final String name;
    private final S initial;
    private final Set<S> terminal;
    private final Map<S, Map<E, Transition<S, A>>> transitions;

    private StateChart(
            String name, S initial, Set<S> terminal, Map<S, Map<E, Transition<S, A>>> transitions) {
        this.name = name;
        this.initial = initial;
        this.terminal = terminal;
        this.transitions = transitions;
    }

    /**
     * Loads a chart, validates it and binds it to enums.
     *
     * @param <S> the enum type of the states
     * @param <E> the enum type of the events
     * @param <A> the enum type of the actions
     * @param name the name of the chart, such as "gang", not null
     * @param states the enum type of the states, not null
     * @param events the enum type of the events, not null
     * @param actions the enum type of the actions, not null
     * @return the chart, never null
     * @throws InvalidChartException if the chart does not exist or has a fault, or if its names and
     *     the constants differ
     */
    public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>
            StateChart<S, E, A> load(
                    String name, Class<S> states, Class<E> events, Class<A> actions) {
        return bind(ChartDefinition.load(name), states, events, actions);
    }

    /**
     * Binds a valid chart to enums.
     *
     * @param <S> the enum type of the states
     * @param <E> the enum type of the events
     * @param <A> the enum type of the actions
     * @param chart the chart, without faults, not null
     * @param states the enum type of the states, not null
     * @param events the enum type of the events, not null
     * @param actions the enum type of the actions, not null
     * @return the bound chart, never null
     * @throws InvalidChartException if the names of the chart and the constants differ
     */
    static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> StateChart<S, E, A> bind(
            ChartDefinition chart, Class<S> states, Class<E> events, Class<A> actions) {
        List<ChartFault> faults = new ArrayList<>();
        compare("states", chart.states().keySet(), states, faults);
        compare("events", chart.events(), events, faults);
        compare("actions", chart.actions(), actions, faults);
        if (!faults.isEmpty()) {
            throw new InvalidChartException(chart.name(), faults);
        }
        Set<S> terminal = EnumSet.noneOf(states);
        Map<S, Map<E, Transition<S, A>>> transitions = new EnumMap<>(states);
        chart.states()
                .forEach(
                        (text, state) -> {
                            S source = constant(states, text);
                            Map<E, Transition<S, A>> row = new EnumMap<>(events);
                            state.events()
                                    .forEach(
                                            (e, t) ->
                                                    row.put(
                                                            constant(events, e),
                                                            transition(t, states, actions)));
                            transitions.put(source, row);
                            if (state.terminal()) {
                                terminal.add(source);
                            }
                        });
        return new StateChart<>(
                chart.name(), constant(states, chart.initial()), terminal, transitions);
    }

    private static <S extends Enum<S>, A extends Enum<A>> Transition<S, A> transition(
            ChartTransition from, Class<S> states, Class<A> actions) {
        Optional<A> action = Optional.ofNullable(from.action()).map(a -> constant(actions, a));
        return new Transition<>(constant(states, from.target()), action, false);
    }

    private static <T extends Enum<T>> void compare(
            String path, Collection<String> names, Class<T> type, List<ChartFault> faults) {
        List<String> constants = new ArrayList<>();
        for (T constant : type.getEnumConstants()) {
            constants.add(constant.name());
            if (!names.contains(text(constant))) {
                faults.add(
                        new ChartFault(
                                ChartFaultType.UNNAMED_CONSTANT,
                                path + "." + text(constant),
                                type.getName() + "." + constant + " is not in the chart"));
            }
        }
        for (String name : names) {
            if (!constants.contains(constantName(name))) {
                faults.add(
                        new ChartFault(
                                ChartFaultType.MISSING_CONSTANT,
                                path + "." + name,
                                type.getName() + " has no constant " + constantName(name)));
            }
        }
    }

    private static String text(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String constantName(String text) {
        return text.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static <T extends Enum<T>> T constant(Class<T> type, String text) {
        return Enum.valueOf(type, constantName(text));
    }

    /**
     * Returns the name of the chart.
     *
     * @return the name, never null
     */
    public String name() {
        return name;
    }

    /**
     * Returns the initial state.
     *
     * @return the state, never null
     */
    public S initial() {
        return initial;
    }

    /**
     * Tests whether a state is terminal.
     *
     * @param state the state, not null
     * @return true if no event leads out of the state
     */
    public boolean isTerminal(S state) {
        return terminal.contains(Objects.requireNonNull(state, "state"));
    }

    /**
     * Returns the transition for an event. If the state ignores the event, or is terminal, the
     * transition stays in the state and has no action.
     *
     * @param state the state before the event, not null
     * @param event the event, not null
     * @return the transition, never null
     */
    public Transition<S, A> next(S state, E event) {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(event, "event");
        Transition<S, A> found = transitions.get(state).get(event);
        if (found == null) {
            return new Transition<S, A>(state, Optional.empty(), true);
        }
        return found;
    }
}
