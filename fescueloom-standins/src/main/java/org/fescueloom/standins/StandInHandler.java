package org.fescueloom.standins;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Answers one kind of call of a stand-in. */
@FunctionalInterface
public interface StandInHandler {
    /**
     * Answers a call. Must not block.
     *
     * @param request the call, not null
     * @return the answer, now or later, never null
     */
    CompletableFuture<StandInResponse> handle(StandInRequest request);

    /**
     * Returns a handler for calls that are answered at once.
     *
     * @param handler computes the answer, not null
     * @return the handler, never null
     */
    static StandInHandler immediate(Function<StandInRequest, StandInResponse> handler) {
        return request -> CompletableFuture.completedFuture(handler.apply(request));
    }
}
