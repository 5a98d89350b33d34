package org.fescueloom.schedule;

import java.util.Map;
import java.util.Objects;
import org.fescueloom.work.Resources;

/**
 * Describes runs that are stopped together: those of a gang, or the run of a single task.
 *
 * @param id an identifier that is unique within the scheduling round, not null
 * @param customer the customer, not null
 * @param priority the priority of the job's queue; 0 is the most urgent
 * @param guaranteed whether the urgent jobs of the customer need no more than the resources that
 *     the customer is guaranteed
 * @param resources the resources that the runs hold on each upstream, by agent, not null
 * @param lostCoreSeconds the work that is lost if the runs are stopped now, in core-seconds
 */
public record RunningUnit(
        String id,
        String customer,
        int priority,
        boolean guaranteed,
        Map<String, Resources> resources,
        double lostCoreSeconds) {
    /** Checks that the identifier and the customer are not null and copies the map. */
    public RunningUnit {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(customer, "customer");
        resources = Map.copyOf(resources);
    }
}
