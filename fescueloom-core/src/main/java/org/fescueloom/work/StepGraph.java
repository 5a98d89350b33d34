package org.fescueloom.work;

import java.util.ArrayList;
import java.util.List;

/** Lists the steps of a job that depend on each step. Immutable. */
final class StepGraph {
    private final List<int[]> dependents = new ArrayList<>();

    /** Creates the graph of the steps of a job. */
    StepGraph(List<StepSpec> steps) {
        List<List<Integer>> lists = new ArrayList<>();
        for (int step = 0; step < steps.size(); step++) {
            lists.add(new ArrayList<>());
            for (int before : steps.get(step).after()) {
                lists.get(before).add(step);
            }
        }
        for (List<Integer> list : lists) {
            dependents.add(list.stream().mapToInt(Integer::intValue).toArray());
        }
    }

    /** Returns the steps that depend on a step, each as often as it names that step. */
    int[] dependents(int step) {
        return dependents.get(step);
    }
}
