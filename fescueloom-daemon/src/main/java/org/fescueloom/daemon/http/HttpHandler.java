package org.fescueloom.daemon.http;

import java.util.concurrent.CompletableFuture;

/** Answers HTTP requests of one route. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Starts to answer a request; must not block.
     *
     * @param call the request, not null
     * @return a future of the reply; a {@link org.fescueloom.failure.SchedulerException} is sent as
     *     its typed JSON body
     */
    CompletableFuture<HttpServerResponse> handle(HttpCall call);
}
