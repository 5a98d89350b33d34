package org.fescueloom.daemon.jobs;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;

/** Combines futures. */
final class Futures {
    private Futures() {}

    /**
     * Waits for all futures, the failed ones too.
     *
     * @param futures the futures, not null
     * @return a future that ends when all have ended; it fails if one of them failed
     */
    static CompletableFuture<Void> allOf(Collection<? extends CompletableFuture<?>> futures) {
        return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
    }
}
