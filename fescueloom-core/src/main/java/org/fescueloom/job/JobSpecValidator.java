package org.fescueloom.job;

import org.fescueloom.config.Adjacency;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Validates gang jobs that callers submit. */
public final class JobSpecValidator {
    /** The maximum number of tasks of one gang. */
    public static final int MAX_TASKS = 1_024;

    /** The maximum number of accelerators of one task. */
    public static final int MAX_ACCELERATORS_PER_TASK = 64;

    /** The maximum number of processor cores of one task. */
    public static final int MAX_CPUS = 4_096;

    /** The maximum memory of one task, in mebibytes. */
    public static final long MAX_MEMORY_MB = 64L * 1_024 * 1_024;

    /** The maximum declared run time, in seconds (366 days, one leap year). */
    public static final long MAX_RUN_SECONDS = 366L * 24 * 3_600;

    /** The maximum length of a command, in characters. */
    public static final int MAX_COMMAND_CHARACTERS = 65_536;

    private JobSpecValidator() {}

    /**
     * Checks that every field is in its range and that no two fields contradict each other.
     *
     * @param spec the job, not null
     * @throws SchedulerException with type {@code INVALID_FIELD} if a field is invalid; names the
     *     first such field
     */
    public static void validate(JobSpec spec) {
        requireNamed("customer", spec.customer());
        requireNamed("class", spec.serviceClass());
        requireRange("tasks", spec.tasks(), 1, MAX_TASKS);
        requireRange(
                "acceleratorsPerTask", spec.acceleratorsPerTask(), 0, MAX_ACCELERATORS_PER_TASK);
        requireRange("cpus", spec.cpus(), 0, MAX_CPUS);
        requireRange("memoryMb", spec.memoryMb(), 0, MAX_MEMORY_MB);
        requireRange("runSeconds", spec.runSeconds(), 1, MAX_RUN_SECONDS);
        requireRange("command length", spec.command().length(), 0, MAX_COMMAND_CHARACTERS);
        requireConsistent(spec);
    }

    private static void requireConsistent(JobSpec spec) {
        boolean usesNothing =
                spec.acceleratorsPerTask() == 0 && spec.cpus() == 0 && spec.memoryMb() == 0;
        if (usesNothing) {
            throw invalid(
                    "at least one of acceleratorsPerTask, cpus and memoryMb must be above 0, but"
                            + " all are 0");
        }
        boolean oneWorker = spec.adjacency() == Adjacency.WORKER;
        long total = (long) spec.tasks() * spec.acceleratorsPerTask();
        if (oneWorker && total > MAX_ACCELERATORS_PER_TASK) {
            throw invalid(
                    "adjacency is worker, but tasks times acceleratorsPerTask is "
                            + total
                            + ", above "
                            + MAX_ACCELERATORS_PER_TASK);
        }
    }

    private static void requireNamed(String field, String value) {
        if (value.isBlank()) {
            throw invalid(field + " must not be blank");
        }
    }

    private static void requireRange(String field, long value, long low, long high) {
        if (value < low || value > high) {
            throw invalid(field + " must be from " + low + " to " + high + ", but is " + value);
        }
    }

    private static SchedulerException invalid(String detail) {
        return new SchedulerException(FailureType.INVALID_FIELD, detail);
    }
}
