package org.fescueloom.daemon.jobs;

import java.time.Duration;

/**
 * Holds the times that bound how long a gang may be in a state that is not whole.
 *
 * <p>A member that died is noticed within {@link #KEEPER_INTERVAL} and one call; where no keeper is
 * left, the leases of the others lapse within {@link #RUN_LEASE}.
 */
public final class GangTimes {
    /** The lease of a member that is granted but not started. */
    public static final Duration START_LEASE = Duration.ofMillis(2_000);

    /** The lease of a running member. */
    public static final Duration RUN_LEASE = Duration.ofMillis(10_000);

    /** The time between two looks of a keeper at its gangs. */
    public static final Duration KEEPER_INTERVAL = Duration.ofMillis(1_000);

    /** The time from the placement within which all members must run. */
    public static final Duration START_BOUND = Duration.ofMillis(4_000);

    /**
     * The time after which a lease that nobody renews has lapsed for certain: the lease, and the
     * renewals that other keepers may still have had on their way.
     */
    public static final Duration LAPSE_BOUND =
            RUN_LEASE.plus(KEEPER_INTERVAL.multipliedBy(2)).plus(WorkerClient.CALL_TIMEOUT);

    private GangTimes() {}
}
