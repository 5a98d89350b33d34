package org.fescueloom.daemon.jobs;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;

/** Provides methods that combine futures. */
final class Futures {
    private Futures() {}

    /**
     * Returns a future that completes when all given futures have completed. A failed future does
     * not shorten the wait for the others.
     *
     * @param futures the futures, not null
     * @return a future that fails if one of the given futures failed, never null
     */
    static CompletableFuture<Void> allOf(Collection<? extends CompletableFuture<?>> futures) {
        return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
    }
}
