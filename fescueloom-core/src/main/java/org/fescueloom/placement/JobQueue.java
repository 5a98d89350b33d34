package org.fescueloom.placement;

import java.util.Comparator;
import java.util.List;

/** Sorts waiting jobs into the order in which a planning round decides about them. */
final class JobQueue {
    /**
     * A job is overdue when it has waited for this multiple of its expected run time, but at least
     * for {@link #MIN_OVERDUE_WAIT_MILLIS}.
     */
    static final int OVERDUE_FACTOR = 2;

    /** The shortest wait after which a job can be overdue, in milliseconds. */
    static final long MIN_OVERDUE_WAIT_MILLIS = 600_000L;

    private static final Comparator<WaitingJob> ARRIVAL_ORDER =
            Comparator.comparingLong(WaitingJob::acceptedAtMillis).thenComparing(WaitingJob::job);

    private final PlanInput input;
    private final boolean shortestFirst;

    /**
     * Creates a queue.
     *
     * @param input the waiting jobs and the run time estimates, not null
     * @param shortestFirst whether jobs with a shorter expected run time come first
     */
    JobQueue(PlanInput input, boolean shortestFirst) {
        this.input = input;
        this.shortestFirst = shortestFirst;
    }

    /** Returns the jobs in order of arrival, urgent jobs first. */
    List<WaitingJob> byArrival() {
        Comparator<WaitingJob> urgentFirst = Comparator.comparing(job -> !job.spec().urgent());
        return input.waiting().stream().sorted(urgentFirst.thenComparing(ARRIVAL_ORDER)).toList();
    }

    /**
     * Returns the jobs in order of priority: urgent jobs before others; within each of these
     * groups, overdue jobs by arrival and then the other jobs by expected run time.
     */
    List<WaitingJob> byPriority() {
        if (!shortestFirst) {
            return byArrival();
        }
        Comparator<WaitingJob> order =
                Comparator.comparing((WaitingJob job) -> !job.spec().urgent())
                        .thenComparing(job -> !isOverdue(job))
                        // Overdue jobs get equal keys here, so that their arrival decides.
                        .thenComparingLong(job -> isOverdue(job) ? 0L : expectedRunMillis(job))
                        .thenComparing(ARRIVAL_ORDER);
        return input.waiting().stream().sorted(order).toList();
    }

    /**
     * Returns whether a job is overdue: the job has waited so long, compared with its expected run
     * time, that it is ordered by arrival. Without {@code shortestFirst} every job is overdue.
     */
    boolean isOverdue(WaitingJob job) {
        long waitedMillis = input.nowMillis() - job.acceptedAtMillis();
        long maxWaitMillis =
                Math.max(MIN_OVERDUE_WAIT_MILLIS, OVERDUE_FACTOR * expectedRunMillis(job));
        return !shortestFirst || waitedMillis >= maxWaitMillis;
    }

    /** Returns the expected run time of a job, in milliseconds. */
    long expectedRunMillis(WaitingJob job) {
        return input.runTimes()
                .expectedRunMillis(
                        job.spec().customer(), job.spec().serviceClass(), job.remainingMillis());
    }
}
