package org.fescueloom.chart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Visits every reachable state of a model in breadth-first order and checks each state.
 *
 * <p>A state is any value with {@code equals} and {@code hashCode}, such as a record of the states
 * of several charts. The message of a failed check contains a shortest sequence of steps that leads
 * to the state.
 */
public final class StateSpaceExplorer {
    private StateSpaceExplorer() {}

    private record Origin<X>(X from, String step) {}

    /**
     * Explores all states that can be reached from a start state.
     *
     * @param <X> the type of the states
     * @param start the start state
     * @param steps returns the successors of a state by the name of the step that leads to them
     * @param check throws an {@code AssertionError} if a state violates an invariant
     * @return all visited states
     * @throws AssertionError if a check fails; the message contains the steps that lead to the
     *     state
     */
    public static <X> Set<X> explore(
            X start, Function<X, Map<String, X>> steps, Consumer<X> check) {
        Map<X, Origin<X>> origins = new HashMap<>();
        Deque<X> pending = new ArrayDeque<>(List.of(start));
        origins.put(start, new Origin<>(null, "start"));
        while (!pending.isEmpty()) {
            X state = pending.remove();
            try {
                check.accept(state);
            } catch (AssertionError e) {
                throw new AssertionError(path(origins, state) + ": " + e.getMessage(), e);
            }
            steps.apply(state)
                    .forEach(
                            (step, next) -> {
                                if (origins.putIfAbsent(next, new Origin<>(state, step)) == null) {
                                    pending.add(next);
                                }
                            });
        }
        return origins.keySet();
    }

    private static <X> String path(Map<X, Origin<X>> origins, X end) {
        List<String> steps = new ArrayList<>();
        for (X state = end; state != null; state = origins.get(state).from()) {
            steps.add(origins.get(state).step() + " -> " + state);
        }
        Collections.reverse(steps);
        return String.join(", ", steps);
    }
}
