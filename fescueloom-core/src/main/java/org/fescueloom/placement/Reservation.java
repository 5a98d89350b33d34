package org.fescueloom.placement;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fescueloom.job.JobSpec;

/**
 * Reserves part of the currently free capacity for a job that starts later.
 *
 * @param job the identifier of the job
 * @param expectedStartMillis the time at which the job is expected to start, in milliseconds since
 *     the epoch
 * @param workers the workers that the job will use
 * @param heldByWorker the capacity that must stay free on each of these workers, by the index of
 *     the worker
 */
record Reservation(
        String job,
        long expectedStartMillis,
        Set<String> workers,
        Map<Integer, HeldCapacity> heldByWorker) {
    /**
     * Holds the capacity that must stay free on one worker: a set of accelerators, processor cores,
     * and memory in mebibytes.
     */
    record HeldCapacity(long accelerators, int cpus, long memoryMb) {}

    /**
     * Creates a reservation.
     *
     * @param job the job
     * @param expectedStartMillis the time at which the job is expected to start, in milliseconds
     *     since the epoch
     * @param members the placements of the tasks
     * @param topology the topology of the workers
     * @param freeNow the capacity that is free now
     * @param freeAtStart the capacity that is free when the job starts
     * @return the reservation, never null
     */
    static Reservation of(
            WaitingJob job,
            long expectedStartMillis,
            java.util.List<TaskPlacement> members,
            Topology topology,
            Capacity freeNow,
            Capacity freeAtStart) {
        JobSpec spec = job.spec();
        Map<Integer, HeldCapacity> heldByWorker = new TreeMap<>();
        Set<String> workers = new java.util.TreeSet<>();
        for (TaskPlacement member : members) {
            workers.add(member.worker());
            HeldCapacity need =
                    new HeldCapacity(
                            AcceleratorSets.of(member.accelerators()),
                            spec.cpus(),
                            spec.memoryMb());
            heldByWorker.merge(topology.indexOf(member.worker()), need, Reservation::sum);
        }
        // Gangs that end before the start release the part that is not free now.
        heldByWorker.replaceAll(
                (w, need) ->
                        new HeldCapacity(
                                need.accelerators() & freeNow.accelerators(w),
                                Math.max(0, need.cpus() - (freeAtStart.cpus(w) - freeNow.cpus(w))),
                                Math.max(
                                        0L,
                                        need.memoryMb()
                                                - (freeAtStart.memoryMb(w)
                                                        - freeNow.memoryMb(w)))));
        return new Reservation(job.job(), expectedStartMillis, workers, heldByWorker);
    }

    private static HeldCapacity sum(HeldCapacity a, HeldCapacity b) {
        return new HeldCapacity(
                a.accelerators() | b.accelerators(),
                a.cpus() + b.cpus(),
                a.memoryMb() + b.memoryMb());
    }
}
