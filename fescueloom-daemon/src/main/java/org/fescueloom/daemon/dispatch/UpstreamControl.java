package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Gives orders to the upstream beside an agent.
 *
 * <p>A future that fails tells nothing: the order may have been carried out, or may be carried out
 * later.
 */
public interface UpstreamControl {
    /**
     * Starts a run.
     *
     * @param instance the upstream that is meant, not null
     * @param order the run, not null
     * @param token the token of the dispatcher
     * @param leaseUntilMillis until when all runs are kept, on the clock of the upstream
     * @return a future of the answer
     */
    CompletableFuture<OrderResult> start(
            String instance, StartOrder order, long token, long leaseUntilMillis);

    /**
     * Stops a run, or bars it if it is not there yet.
     *
     * @param instance the upstream that is meant, not null
     * @param order the run, not null
     * @param token the token of the dispatcher
     * @return a future of the answer
     */
    CompletableFuture<OrderResult> stop(String instance, StopOrder order, long token);

    /**
     * Renews the lease of all runs, acknowledges ends and asks what the upstream holds.
     *
     * @param instance the upstream that is meant, not null
     * @param token the token of the dispatcher
     * @param acknowledged ends up to this number are forgotten
     * @param leaseUntilMillis until when all runs are kept; 0 to leave it
     * @param wait how long the upstream may wait for an end, not null
     * @return a future of what it holds; fails with {@link BootMismatchException} if another life
     *     of the upstream answered
     */
    CompletableFuture<UpstreamSnapshot> poll(
            String instance, long token, long acknowledged, long leaseUntilMillis, Duration wait);
}
