package org.fescueloom.daemon.jobs;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Helps with futures whose failures are typed. */
final class Futures {
    private Futures() {}

    /**
     * Waits for all futures, the failed ones too.
     *
     * @param futures the futures, not null
     * @return a future that ends when all have ended; it fails if one of them failed
     */
    static CompletableFuture<Void> all(Collection<? extends CompletableFuture<?>> futures) {
        return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
    }

    /**
     * Returns the typed failure behind an error.
     *
     * @param error the error, not null
     * @return the failure; one of type {@code INTERNAL} if the error has no type
     */
    static SchedulerException failure(Throwable error) {
        Throwable cause = error;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof SchedulerException typed) {
            return typed;
        }
        return new SchedulerException(
                FailureType.INTERNAL, String.valueOf(cause.getMessage()), 0L, cause);
    }
}
