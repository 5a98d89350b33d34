package org.fescueloom.daemon.cluster;

import org.fescueloom.log.StreamFold;

/**
 * Learns about the progress of a {@link StreamFollower}, on the follower's thread.
 *
 * @param <F> the type of the fold
 */
public interface StreamListener<F extends StreamFold> {
    /**
     * Learns that the log answered a read.
     *
     * @param fold the fold with all records of the answer, not null
     * @param caughtUp whether the fold has every record that the stream had then
     * @param sentAtMillis when the read was sent, in milliseconds of the monotonic clock
     */
    default void onRead(F fold, boolean caughtUp, long sentAtMillis) {}

    /**
     * Learns that the log did not answer a read.
     *
     * @param nowMillis the time now, in milliseconds of the monotonic clock
     */
    default void onReadFailed(long nowMillis) {}
}
