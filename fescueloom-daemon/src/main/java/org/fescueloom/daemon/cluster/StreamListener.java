package org.fescueloom.daemon.cluster;

import org.fescueloom.log.StreamFold;

/**
 * Is notified of the progress of a {@link StreamFollower}, on the follower's thread.
 *
 * @param <F> the type of the fold
 */
public interface StreamListener<F extends StreamFold> {
    /**
     * Called after a successful read, when its records are folded.
     *
     * @param fold the fold, with all records of the response, not null
     * @param caughtUp whether the fold has all records that the stream had at the time of the
     *     response
     * @param sentAtMillis the time at which the read was sent, in milliseconds of the monotonic
     *     clock
     */
    default void onRead(F fold, boolean caughtUp, long sentAtMillis) {}

    /**
     * Called after a failed read.
     *
     * @param nowMillis the current time, in milliseconds of the monotonic clock
     */
    default void onReadFailed(long nowMillis) {}
}
