package org.fescueloom.placement;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.job.JobSpec;

/** Decides whether any set of workers could ever hold a job. */
public final class JobFeasibility {
    private final GangFitter fitter;
    private final FreeCapacity totalCapacity;

    /** Whether the workers could hold a gang of a shape if no worker is avoided. */
    private final Map<GangShape, Boolean> feasibilityByShape = new ConcurrentHashMap<>();

    /**
     * Creates a check for the given workers.
     *
     * @param workers every known worker, including lost workers and workers out of service, not
     *     null
     */
    public JobFeasibility(List<WorkerView> workers) {
        List<WorkerView> usable =
                workers.stream().map(w -> w.withCondition(WorkerCondition.USABLE)).toList();
        Topology topology = new Topology(usable);
        fitter = new GangFitter(topology, WorkerOrder.LISTED);
        totalCapacity = FreeCapacity.allFree(topology);
    }

    /**
     * Returns whether the workers could hold a job if nothing else ran.
     *
     * @param spec the job, not null
     * @return {@code true} if the workers could hold the job
     */
    public boolean isFeasible(JobSpec spec) {
        return feasibilityByShape.computeIfAbsent(
                GangShape.of(spec), shape -> isFeasible(spec, Set.of()));
    }

    /**
     * Returns whether the workers without the avoided workers could hold a job if nothing else ran.
     *
     * @param spec the job, not null
     * @param avoided the workers that must not be used, not null
     * @return {@code true} if the workers could hold the job
     */
    public boolean isFeasible(JobSpec spec, Set<String> avoided) {
        return fitter.fit(totalCapacity, spec, avoided).isPresent();
    }

    /**
     * Describes the largest variant of a job, with fewer accelerators per task or fewer tasks, that
     * the workers could hold. The number of tasks is reduced before the number of accelerators.
     *
     * @param spec the job, not null
     * @return the description of the shape of this variant, or empty if not even one task without
     *     accelerators fits
     */
    public Optional<String> largestShape(JobSpec spec) {
        for (int accelerators = spec.acceleratorsPerTask(); accelerators >= 0; accelerators--) {
            for (int tasks = spec.tasks(); tasks >= 1; tasks--) {
                JobSpec smaller = resized(spec, tasks, accelerators);
                if (isFeasible(smaller)) {
                    return Optional.of(describe(smaller));
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Throws an exception if no set of workers could ever hold a job.
     *
     * @param spec the job, not null
     * @throws SchedulerException with type {@code JOB_CANNOT_RUN} if the job can never run; the
     *     message describes the largest shape that would fit
     */
    public void requireFeasible(JobSpec spec) {
        if (isFeasible(spec)) {
            return;
        }
        String largestShape =
                largestShape(spec).orElse("none, a task needs too many cores or too much memory");
        throw new SchedulerException(
                FailureType.JOB_CANNOT_RUN,
                "no set of workers could hold "
                        + describe(spec)
                        + "; largest shape that fits: "
                        + largestShape);
    }

    /**
     * Returns a description of the shape of a job.
     *
     * @param spec the job, not null
     * @return the description, never null
     */
    public static String describe(JobSpec spec) {
        String bound = spec.adjacency().name().toLowerCase(Locale.ROOT);
        return spec.tasks()
                + " tasks of "
                + spec.acceleratorsPerTask()
                + " accelerators, "
                + spec.cpus()
                + " cores and "
                + spec.memoryMb()
                + " MB each, adjacency "
                + bound;
    }

    private static JobSpec resized(JobSpec spec, int tasks, int accelerators) {
        return new JobSpec(
                spec.customer(),
                spec.serviceClass(),
                tasks,
                accelerators,
                spec.adjacency(),
                spec.cpus(),
                spec.memoryMb(),
                spec.runSeconds(),
                spec.checkpointable(),
                spec.urgent(),
                spec.command());
    }
}
