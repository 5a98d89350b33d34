package org.fescueloom.report;

import java.util.Objects;

/**
 * Reports who uses one accelerator.
 *
 * @param place the place on the worker, from 0
 * @param use how it is used, not null
 * @param customer the customer that uses it; null if it is free
 * @param job the job that uses it; null if it is free
 */
public record AcceleratorReport(int place, AcceleratorUse use, String customer, String job) {
    /** Checks what is required and copies the collections. */
    public AcceleratorReport {
        Objects.requireNonNull(use, "use");
    }
}
