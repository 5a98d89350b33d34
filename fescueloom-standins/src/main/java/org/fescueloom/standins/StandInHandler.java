package org.fescueloom.standins;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Handles the calls of one route of a stand-in. */
@FunctionalInterface
public interface StandInHandler {
    /**
     * Handles a call. Must not block.
     *
     * @param request the call, not null
     * @return a future of the response, never null
     */
    CompletableFuture<StandInResponse> handle(StandInRequest request);

    /**
     * Returns a handler that responds at once.
     *
     * @param handler computes the response, not null
     * @return the handler, never null
     */
    static StandInHandler immediate(Function<StandInRequest, StandInResponse> handler) {
        return request -> CompletableFuture.completedFuture(handler.apply(request));
    }
}
