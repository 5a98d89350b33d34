package org.fescueloom.daemon.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fescueloom.failure.SchedulerException;

/**
 * Represents one remote step of an operation: probes, an append, or the request to a peer. If the
 * step fails or times out while the operation goes on, its failure is handled once. Confined to the
 * event loop of its owner.
 */
final class RemoteCall {
    private final ScheduledExecutorService loop;
    private final BooleanSupplier operationEnded;
    private final Consumer<SchedulerException> onFailure;
    private boolean finished;

    /**
     * Creates a call in progress.
     *
     * @param loop the event loop of the owner
     * @param operationEnded whether the operation has ended
     * @param onFailure handles the failure of the call
     */
    RemoteCall(
            ScheduledExecutorService loop,
            BooleanSupplier operationEnded,
            Consumer<SchedulerException> onFailure) {
        this.loop = loop;
        this.operationEnded = operationEnded;
        this.onFailure = onFailure;
    }

    /**
     * Ends the call.
     *
     * @return whether neither the call nor the whole operation had ended before
     */
    boolean finish() {
        boolean first = !finished && !operationEnded.getAsBoolean();
        finished = true;
        return first;
    }

    /** Tests whether the call has ended. */
    boolean finished() {
        return finished;
    }

    /** Ends the call with a failure, unless it has ended before. */
    void fail(SchedulerException failure) {
        if (finish()) {
            onFailure.accept(failure);
        }
    }

    /** Ends the call with a failure after some time, unless it has ended by then. */
    void failAfter(long millis, Supplier<SchedulerException> failure) {
        loop.schedule(
                () -> {
                    if (!finished && !operationEnded.getAsBoolean()) {
                        fail(failure.get());
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
