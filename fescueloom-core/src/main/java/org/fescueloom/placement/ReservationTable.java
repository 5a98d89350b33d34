package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Holds the reservations of one planning round. As in EASY backfilling, other jobs may use reserved
 * capacity if they are expected to end before the reservation begins.
 */
final class ReservationTable {
    private final Topology topology;
    private final GangFitter fitter;
    private final FreeCapacity freeCapacity;
    private final List<Reservation> reservations = new ArrayList<>();

    ReservationTable(Topology topology, GangFitter fitter, FreeCapacity freeCapacity) {
        this.topology = topology;
        this.fitter = fitter;
        this.freeCapacity = freeCapacity;
    }

    int size() {
        return reservations.size();
    }

    Optional<Reservation> find(String job) {
        return reservations.stream().filter(r -> r.job().equals(job)).findFirst();
    }

    /**
     * Reserves capacity for a job from the earliest time at which the job fits, according to the
     * expected ends of the running gangs.
     *
     * @param job the job, not null
     * @param gangs the running gangs, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the reservation, or empty if the job does not fit even when all gangs have ended
     */
    Optional<Reservation> reserve(WaitingJob job, List<RunningGang> gangs, long nowMillis) {
        List<RunningGang> byEnd = sortByExpectedEnd(gangs, nowMillis);
        int endedCount = minEndedGangs(job, byEnd);
        if (endedCount > byEnd.size()) {
            return Optional.empty();
        }
        Reservation reservation =
                Reservation.of(
                        job,
                        startMillisAfter(byEnd, endedCount, nowMillis),
                        fitAfter(job, byEnd, endedCount).orElseThrow(),
                        topology,
                        freeCapacity,
                        freeAfter(byEnd, endedCount));
        reservations.add(reservation);
        return Optional.of(reservation);
    }

    /**
     * Returns the earliest time at which a job could start, according to the expected ends of the
     * running gangs; if the job has a reservation, the time at which the reservation begins.
     *
     * @param job the job, not null
     * @param gangs the running gangs, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the time in milliseconds since the epoch, or empty if the job does not fit even when
     *     all gangs have ended
     */
    Optional<Long> earliestStart(WaitingJob job, List<RunningGang> gangs, long nowMillis) {
        Optional<Reservation> own = find(job.job());
        if (own.isPresent()) {
            return own.map(Reservation::expectedStartMillis);
        }
        List<RunningGang> byEnd = sortByExpectedEnd(gangs, nowMillis);
        int endedCount = minEndedGangs(job, byEnd);
        return endedCount > byEnd.size()
                ? Optional.empty()
                : Optional.of(startMillisAfter(byEnd, endedCount, nowMillis));
    }

    private static List<RunningGang> sortByExpectedEnd(List<RunningGang> gangs, long nowMillis) {
        List<RunningGang> byEnd = new ArrayList<>(gangs);
        byEnd.sort(Comparator.comparingLong(g -> g.expectedEndMillis(nowMillis)));
        return byEnd;
    }

    private static long startMillisAfter(List<RunningGang> byEnd, int endedCount, long nowMillis) {
        return endedCount == 0 ? nowMillis : byEnd.get(endedCount - 1).expectedEndMillis(nowMillis);
    }

    /**
     * Returns how many of the gangs, in the order of their expected ends, must end before a job
     * fits; one more than the number of gangs if the job never fits.
     */
    private int minEndedGangs(WaitingJob job, List<RunningGang> byEnd) {
        int low = 0;
        int high = byEnd.size();
        if (fitAfter(job, byEnd, high).isEmpty()) {
            return high + 1;
        }
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (fitAfter(job, byEnd, middle).isPresent()) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /**
     * Returns the free capacity that a job may use without delaying the reservation of another job.
     *
     * @param job the identifier of the job, whose own reservation is ignored, not null
     * @param endMillis the time at which the job is expected to end, in milliseconds since the
     *     epoch
     * @return the free capacity without the capacity that is held for reservations that begin
     *     before {@code endMillis}
     */
    Capacity capacityNotReservedForOthers(String job, long endMillis) {
        List<Reservation> conflicting =
                reservations.stream()
                        .filter(r -> r.expectedStartMillis() < endMillis && !r.job().equals(job))
                        .toList();
        return conflicting.isEmpty()
                ? freeCapacity
                : new UnreservedCapacity(freeCapacity, conflicting, topology.size());
    }

    private Optional<List<TaskPlacement>> fitAfter(
            WaitingJob job, List<RunningGang> byEnd, int endedCount) {
        Capacity capacity =
                new UnreservedCapacity(freeAfter(byEnd, endedCount), reservations, topology.size());
        return fitter.fit(capacity, job.spec(), job.avoidedWorkers());
    }

    private FreeCapacity freeAfter(List<RunningGang> byEnd, int endedCount) {
        FreeCapacity freeLater = freeCapacity.copy();
        for (RunningGang gang : byEnd.subList(0, endedCount)) {
            freeLater.release(gang.allocation().spec(), gang.allocation().members());
        }
        return freeLater;
    }

    /** Subtracts the capacity that reservations hold from another capacity. */
    private static final class UnreservedCapacity implements Capacity {
        private final Capacity delegate;
        private final long[] heldAccelerators;
        private final int[] heldCpus;
        private final long[] heldMemoryMb;

        UnreservedCapacity(Capacity delegate, List<Reservation> reservations, int size) {
            this.delegate = delegate;
            heldAccelerators = new long[size];
            heldCpus = new int[size];
            heldMemoryMb = new long[size];
            for (Reservation reservation : reservations) {
                reservation
                        .heldByWorker()
                        .forEach(
                                (workerIndex, held) -> {
                                    heldAccelerators[workerIndex] |= held.accelerators();
                                    heldCpus[workerIndex] += held.cpus();
                                    heldMemoryMb[workerIndex] += held.memoryMb();
                                });
            }
        }

        @Override
        public long accelerators(int workerIndex) {
            return delegate.accelerators(workerIndex) & ~heldAccelerators[workerIndex];
        }

        @Override
        public int cpus(int workerIndex) {
            return delegate.cpus(workerIndex) - heldCpus[workerIndex];
        }

        @Override
        public long memoryMb(int workerIndex) {
            return delegate.memoryMb(workerIndex) - heldMemoryMb[workerIndex];
        }
    }
}
