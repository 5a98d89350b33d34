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

/** Tells whether any set of workers could ever hold a job. */
public final class JobFeasibility {
    private final GangFitter fitter;
    private final FreeCapacity idleCapacity;
    private final Map<GangShape, Boolean> feasibilityByShape = new ConcurrentHashMap<>();

    /**
     * Prepares the check.
     *
     * @param workers every known worker; lost ones and those out of service count too, not null
     */
    public JobFeasibility(List<WorkerView> workers) {
        List<WorkerView> usable =
                workers.stream().map(w -> w.withCondition(WorkerCondition.USABLE)).toList();
        Topology topology = new Topology(usable);
        fitter = new GangFitter(topology, WorkerOrder.LISTED);
        idleCapacity = FreeCapacity.ofIdleWorkers(topology);
    }

    /**
     * Tells whether the workers could hold a job when nothing else runs.
     *
     * @param spec the job, not null
     * @return whether they could
     */
    public boolean isFeasible(JobSpec spec) {
        return feasibilityByShape.computeIfAbsent(
                GangShape.of(spec), shape -> isFeasible(spec, Set.of()));
    }

    /**
     * Tells whether the workers but for some could hold a job when nothing else runs.
     *
     * @param spec the job, not null
     * @param avoided the workers that do not count, not null
     * @return whether they could
     */
    public boolean isFeasible(JobSpec spec, Set<String> avoided) {
        return fitter.fit(idleCapacity, spec, avoided).isPresent();
    }

    /**
     * Describes the largest job of the same kind that the workers could hold.
     *
     * @param spec the job, not null
     * @return the shape in words, or empty if not even one task of one accelerator fits
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
     * Refuses a job that could never run.
     *
     * @param spec the job, not null
     * @throws SchedulerException with type {@code JOB_CANNOT_RUN} and the largest shape that would
     *     do
     */
    public void requireFeasible(JobSpec spec) {
        if (isFeasible(spec)) {
            return;
        }
        String largest = largestShape(spec).orElse("none, cores or memory of a task are too large");
        throw new SchedulerException(
                FailureType.JOB_CANNOT_RUN,
                "no set of workers could hold " + describe(spec) + "; largest: " + largest);
    }

    /**
     * Describes the shape of a job.
     *
     * @param spec the job, not null
     * @return the shape in words, never null
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
