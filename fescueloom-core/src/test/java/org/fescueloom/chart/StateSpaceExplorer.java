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
 * Visits every state that can be reached, breadth first, and checks each one.
 *
 * <p>A state is any value with {@code equals} and {@code hashCode}, such as a record of the states
 * of several charts. A failed check names the shortest sequence of steps that leads to it.
 */
public final class StateSpaceExplorer {
    private StateSpaceExplorer() {}

    private record Origin<X>(X from, String step) {}

    /**
     * Walks from one state over all steps.
     *
     * @param <X> the state
     * @param start the first state
     * @param steps the next states of a state, by a name of the step
     * @param check throws an {@code AssertionError} if a state breaks a promise
     * @return every state that was visited
     * @throws AssertionError with the steps that lead there, if a check fails
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
