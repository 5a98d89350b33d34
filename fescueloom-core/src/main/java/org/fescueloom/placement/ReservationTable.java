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
    private final FreeCapacity free;
    private final List<Reservation> reservations = new ArrayList<>();

    ReservationTable(Topology topology, GangFitter fitter, FreeCapacity free) {
        this.topology = topology;
        this.fitter = fitter;
        this.free = free;
    }

    int size() {
        return reservations.size();
    }

    Optional<Reservation> find(String job) {
        return reservations.stream().filter(r -> r.job().equals(job)).findFirst();
    }

    /**
     * Reserves capacity for a job from the earliest time at which it fits, according to the
     * expected ends of the running gangs.
     *
     * @param job the job, not null
     * @param gangs the running gangs, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the reservation, or empty if the job does not fit even when all gangs have ended
     */
    Optional<Reservation> reserve(WaitingJob job, List<RunningGang> gangs, long nowMillis) {
        List<RunningGang> byEnd = sortByExpectedEnd(gangs, nowMillis);
        int ended = minEndedGangs(job, byEnd);
        if (ended > byEnd.size()) {
            return Optional.empty();
        }
        Reservation reservation =
                Reservation.of(
                        job,
                        startMillisAfter(byEnd, ended, nowMillis),
                        fitAfter(job, byEnd, ended).orElseThrow(),
                        topology,
                        free,
                        freeAfter(byEnd, ended));
        reservations.add(reservation);
        return Optional.of(reservation);
    }

    /**
     * Returns the earliest time at which a job could start, according to the expected ends of the
     * running gangs.
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
        int ended = minEndedGangs(job, byEnd);
        return ended > byEnd.size()
                ? Optional.empty()
                : Optional.of(startMillisAfter(byEnd, ended, nowMillis));
    }

    private static List<RunningGang> sortByExpectedEnd(List<RunningGang> gangs, long nowMillis) {
        List<RunningGang> byEnd = new ArrayList<>(gangs);
        byEnd.sort(Comparator.comparingLong(g -> g.expectedEndMillis(nowMillis)));
        return byEnd;
    }

    private static long startMillisAfter(List<RunningGang> byEnd, int ended, long nowMillis) {
        return ended == 0 ? nowMillis : byEnd.get(ended - 1).expectedEndMillis(nowMillis);
    }

    /**
     * Returns the number of gangs that must end before a job fits; one more than the number of
     * gangs if the job never fits.
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
     * Returns the free capacity that a job may use.
     *
     * @param job the identifier of the job, whose own reservation is ignored, not null
     * @param endMillis the time at which the job is expected to end, in milliseconds since the
     *     epoch
     * @return the free capacity without the capacity that is held for reservations that begin
     *     before {@code endMillis}
     */
    Capacity unreservedUntil(String job, long endMillis) {
        List<Reservation> active =
                reservations.stream()
                        .filter(r -> r.expectedStartMillis() < endMillis && !r.job().equals(job))
                        .toList();
        return active.isEmpty() ? free : new UnreservedCapacity(free, active, topology.size());
    }

    private Optional<List<TaskPlacement>> fitAfter(
            WaitingJob job, List<RunningGang> byEnd, int ended) {
        Capacity view =
                new UnreservedCapacity(freeAfter(byEnd, ended), reservations, topology.size());
        return fitter.fit(view, job.spec(), job.avoidedWorkers());
    }

    private FreeCapacity freeAfter(List<RunningGang> byEnd, int ended) {
        FreeCapacity later = free.copy();
        for (RunningGang gang : byEnd.subList(0, ended)) {
            later.release(gang.allocation().spec(), gang.allocation().members());
        }
        return later;
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
                                (worker, held) -> {
                                    heldAccelerators[worker] |= held.accelerators();
                                    heldCpus[worker] += held.cpus();
                                    heldMemoryMb[worker] += held.memoryMb();
                                });
            }
        }

        @Override
        public long accelerators(int worker) {
            return delegate.accelerators(worker) & ~heldAccelerators[worker];
        }

        @Override
        public int cpus(int worker) {
            return delegate.cpus(worker) - heldCpus[worker];
        }

        @Override
        public long memoryMb(int worker) {
            return delegate.memoryMb(worker) - heldMemoryMb[worker];
        }
    }
}
