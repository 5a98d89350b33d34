package org.fescueloom.daemon.cluster;

import java.util.concurrent.CompletionException;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Looks into the causes of failed futures. */
final class Failures {
    private Failures() {}

    /**
     * Returns the failure behind an error of a future.
     *
     * @param error the error, not null
     * @return the failure; one of type {@code INTERNAL} for an error of another kind
     */
    static SchedulerException of(Throwable error) {
        Throwable cause = error;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof SchedulerException failure
                ? failure
                : new SchedulerException(FailureType.INTERNAL, String.valueOf(cause), 0L, cause);
    }

    /**
     * Returns the type of the failure behind an error of a future.
     *
     * @param error the error, not null
     * @return the type, never null
     */
    static FailureType typeOf(Throwable error) {
        return of(error).type();
    }
}
