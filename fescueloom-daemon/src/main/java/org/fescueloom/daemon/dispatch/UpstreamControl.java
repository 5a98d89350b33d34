package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends orders to the upstream of an agent.
 *
 * <p>If a future fails, the outcome is unknown: the order may have been executed, or may be
 * executed later.
 */
public interface UpstreamControl {
    /**
     * Starts a run.
     *
     * @param instance the identifier of the addressed upstream, not null
     * @param order the run, not null
     * @param token the fencing token, see {@link FencingToken}
     * @param leaseUntilMillis when the lease of all runs expires, on the clock of the upstream
     * @return a future of the result
     */
    CompletableFuture<OrderResult> start(
            String instance, StartOrder order, long token, long leaseUntilMillis);

    /**
     * Stops a run; if the run has not started, the upstream will refuse to start it.
     *
     * @param instance the identifier of the addressed upstream, not null
     * @param order the run, not null
     * @param token the fencing token, see {@link FencingToken}
     * @return a future of the result
     */
    CompletableFuture<OrderResult> stop(String instance, StopOrder order, long token);

    /**
     * Polls the upstream: renews the lease of all runs, acknowledges ends and lists the runs.
     *
     * @param instance the identifier of the addressed upstream, not null
     * @param token the fencing token, see {@link FencingToken}
     * @param acknowledged the number up to which the upstream forgets ended runs
     * @param leaseUntilMillis when the lease of all runs expires, on the clock of the upstream; 0
     *     to leave the lease unchanged
     * @param wait how long the upstream may wait for a run to end, not null
     * @return a future of the snapshot; fails with {@link BootMismatchException} if an upstream
     *     with another identifier responds, with {@link TokenRefusedException} if the upstream has
     *     received a higher token, and with {@link UpstreamRefusedException} if no process listens
     *     at its address
     */
    CompletableFuture<UpstreamSnapshot> poll(
            String instance, long token, long acknowledged, long leaseUntilMillis, Duration wait);
}
