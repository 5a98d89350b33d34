package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Holds the access of an entry to the logs of jobs.
 *
 * @param service the log service, not null
 * @param intakePartitions the number of partitions of the intake log, positive
 */
public record LogAccess(KeyedLog service, int intakePartitions) {
    /** Checks the values. */
    public LogAccess {
        Objects.requireNonNull(service, "service");
        if (intakePartitions < 1) {
            throw new IllegalArgumentException(
                    "intakePartitions must be positive, but is " + intakePartitions);
        }
    }
}
