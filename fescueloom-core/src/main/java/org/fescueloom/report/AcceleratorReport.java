package org.fescueloom.report;

import java.util.Objects;

/**
 * Reports the use of one accelerator.
 *
 * @param place the index of the accelerator on the worker, from 0
 * @param use the kind of use, not null
 * @param customer the customer that uses the accelerator; null if it is free
 * @param job the identifier of the job that uses the accelerator; null if it is free
 */
public record AcceleratorReport(int place, AcceleratorUse use, String customer, String job) {
    /** Checks that the use is not null. */
    public AcceleratorReport {
        Objects.requireNonNull(use, "use");
    }
}
