package org.fescueloom.daemon.http;

import java.util.concurrent.CompletableFuture;

/** Handles the HTTP requests of one route. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Starts to handle a request; must not block.
     *
     * @param call the request, not null
     * @return a future of the response; if it fails with a {@link
     *     org.fescueloom.failure.SchedulerException}, the failure is sent as typed JSON
     */
    CompletableFuture<HttpServerResponse> handle(HttpCall call);
}
