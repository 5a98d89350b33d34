package org.fescueloom.schedule;

import java.util.Map;
import java.util.Objects;
import org.fescueloom.work.Resources;

/**
 * Describes runs that end together when one of them is stopped: a gang, or a single task.
 *
 * @param id a name that is unique in the plan, not null
 * @param customer the customer, not null
 * @param priority the priority of its queue
 * @param guaranteed whether all urgent jobs of the customer fit into what it is guaranteed
 * @param resources what the runs take of each agent's upstream, not null
 * @param lostCoreSeconds the work that is thrown away if they are stopped now
 */
public record RunningUnit(
        String id,
        String customer,
        int priority,
        boolean guaranteed,
        Map<String, Resources> resources,
        double lostCoreSeconds) {
    /** Checks the values. */
    public RunningUnit {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(customer, "customer");
        resources = Map.copyOf(resources);
    }
}
