package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Holds the reservations of one planning round, as in EASY backfilling: other jobs may use what is
 * reserved if they are expected to end before the reservation begins.
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
     * Reserves the earliest place for a job that follows from the expected ends of what runs.
     *
     * @param job the job, not null
     * @param gangs what runs, not null
     * @param nowMillis the time, in milliseconds since the epoch
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
     * Returns when a job could start by the expected ends of what runs.
     *
     * @param job the job, not null
     * @param gangs what runs, not null
     * @param nowMillis the time, in milliseconds since the epoch
     * @return the time, or empty if the job does not fit even when all gangs have ended
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
     * Returns how many gangs must end before a job fits, one more than there are if it never does.
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
     * Returns what a job may use.
     *
     * @param job the job; its own reservation does not hinder it, not null
     * @param endMillis when the job is expected to end, in milliseconds since the epoch
     * @return the free capacity without what is held for reservations that begin earlier
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

    /** Shows a capacity without what some reservations hold. */
    private static final class UnreservedCapacity implements Capacity {
        private final Capacity delegate;
        private final long[] accelerators;
        private final int[] cpus;
        private final long[] memoryMb;

        UnreservedCapacity(Capacity base, List<Reservation> reservations, int size) {
            this.delegate = base;
            accelerators = new long[size];
            cpus = new int[size];
            memoryMb = new long[size];
            for (Reservation reservation : reservations) {
                reservation
                        .heldByWorker()
                        .forEach(
                                (worker, held) -> {
                                    accelerators[worker] |= held.accelerators();
                                    cpus[worker] += held.cpus();
                                    memoryMb[worker] += held.memoryMb();
                                });
            }
        }

        @Override
        public long accelerators(int worker) {
            return delegate.accelerators(worker) & ~accelerators[worker];
        }

        @Override
        public int cpus(int worker) {
            return delegate.cpus(worker) - cpus[worker];
        }

        @Override
        public long memoryMb(int worker) {
            return delegate.memoryMb(worker) - memoryMb[worker];
        }
    }
}
