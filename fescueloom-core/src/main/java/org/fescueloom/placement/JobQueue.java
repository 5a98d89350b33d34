package org.fescueloom.placement;

import java.util.Comparator;
import java.util.List;

/** Puts waiting jobs in the order in which a round decides them. */
final class JobQueue {
    /** A job that has waited for so many of its expected run times goes by arrival. */
    static final int OVERDUE_FACTOR = 2;

    /** The shortest wait after which a job goes by arrival, in milliseconds. */
    static final long MIN_OVERDUE_WAIT_MILLIS = 600_000L;

    private static final Comparator<WaitingJob> ARRIVAL_ORDER =
            Comparator.comparingLong(WaitingJob::acceptedAtMillis).thenComparing(WaitingJob::job);

    private final PlanInput input;
    private final boolean shortestFirst;

    /**
     * Creates a queue.
     *
     * @param input the waiting jobs and what is known of run times, not null
     * @param shortestFirst whether short jobs pass longer ones
     */
    JobQueue(PlanInput input, boolean shortestFirst) {
        this.input = input;
        this.shortestFirst = shortestFirst;
    }

    /** Returns the jobs by arrival, urgent ones first. */
    List<WaitingJob> byArrival() {
        Comparator<WaitingJob> urgentFirst = Comparator.comparing(job -> !job.spec().urgent());
        return input.waiting().stream().sorted(urgentFirst.thenComparing(ARRIVAL_ORDER)).toList();
    }

    /** Returns the jobs in the order of decision: urgent, overdue by arrival, short. */
    List<WaitingJob> byPriority() {
        if (!shortestFirst) {
            return byArrival();
        }
        Comparator<WaitingJob> order =
                Comparator.comparing((WaitingJob job) -> !job.spec().urgent())
                        .thenComparing(job -> !isOverdue(job))
                        .thenComparingLong(job -> isOverdue(job) ? 0L : expectedRunMillis(job))
                        .thenComparing(ARRIVAL_ORDER);
        return input.waiting().stream().sorted(order).toList();
    }

    /** Tells whether a job has waited longer than its length justifies. */
    boolean isOverdue(WaitingJob job) {
        long waited = input.nowMillis() - job.acceptedAtMillis();
        long patience = Math.max(MIN_OVERDUE_WAIT_MILLIS, OVERDUE_FACTOR * expectedRunMillis(job));
        return !shortestFirst || waited >= patience;
    }

    /** Returns how long a job is expected to run, in milliseconds. */
    long expectedRunMillis(WaitingJob job) {
        return input.runTimes()
                .expectedRunMillis(
                        job.spec().customer(), job.spec().serviceClass(), job.remainingMillis());
    }
}
