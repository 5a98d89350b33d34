package org.fescueloom.placement;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fescueloom.job.JobSpec;

/**
 * Keeps part of what is free now for a job that starts later.
 *
 * @param job the job
 * @param expectedStartMillis when it is expected to start, in milliseconds since the epoch
 * @param workers the workers that it will use
 * @param heldByWorker what must stay free on each of them, by the index of the worker
 */
record Reservation(
        String job,
        long expectedStartMillis,
        Set<String> workers,
        Map<Integer, HeldCapacity> heldByWorker) {
    /** What one worker keeps: a set of accelerators, cores, and memory in mebibytes. */
    record HeldCapacity(long accelerators, int cpus, long memoryMb) {}

    /**
     * Creates a reservation.
     *
     * @param job the job
     * @param expectedStartMillis when it is expected to start, in milliseconds since the epoch
     * @param members where its tasks will go
     * @param topology the workers
     * @param now what is free now
     * @param then what is free when the job starts
     * @return the reservation, never null
     */
    static Reservation of(
            WaitingJob job,
            long fromMillis,
            java.util.List<TaskPlacement> members,
            Topology topology,
            Capacity now,
            Capacity then) {
        JobSpec spec = job.spec();
        Map<Integer, HeldCapacity> needs = new TreeMap<>();
        Set<String> workers = new java.util.TreeSet<>();
        for (TaskPlacement member : members) {
            workers.add(member.worker());
            HeldCapacity need =
                    new HeldCapacity(
                            AcceleratorSets.of(member.accelerators()),
                            spec.cpus(),
                            spec.memoryMb());
            needs.merge(topology.indexOf(member.worker()), need, Reservation::sum);
        }
        needs.replaceAll(
                (w, need) ->
                        new HeldCapacity(
                                need.accelerators() & now.accelerators(w),
                                Math.max(0, need.cpus() - (then.cpus(w) - now.cpus(w))),
                                Math.max(
                                        0L,
                                        need.memoryMb() - (then.memoryMb(w) - now.memoryMb(w)))));
        return new Reservation(job.job(), fromMillis, workers, needs);
    }

    private static HeldCapacity sum(HeldCapacity a, HeldCapacity b) {
        return new HeldCapacity(
                a.accelerators() | b.accelerators(),
                a.cpus() + b.cpus(),
                a.memoryMb() + b.memoryMb());
    }
}
