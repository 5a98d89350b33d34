package org.fescueloom.length;

import java.util.Objects;

/**
 * Names a group of tasks whose runs are expected to take similar times.
 *
 * @param queue the queue, not null
 * @param image the image, not null
 * @param customer the customer, not null
 * @param cpuMillis the requested CPU in thousandths of a core, not negative
 * @param accelerators the number of requested accelerators, not negative
 * @param gang whether the task is a member of a gang
 */
public record RunKind(
        String queue,
        String image,
        String customer,
        long cpuMillis,
        long accelerators,
        boolean gang) {
    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public RunKind {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(image, "image");
        Objects.requireNonNull(customer, "customer");
        if (cpuMillis < 0 || accelerators < 0) {
            throw new IllegalArgumentException(
                    "resources must not be negative: " + cpuMillis + ", " + accelerators);
        }
    }
}
