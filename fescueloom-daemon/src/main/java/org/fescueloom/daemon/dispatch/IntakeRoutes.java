package org.fescueloom.daemon.dispatch;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.Submission;

/**
 * Serves the requests of entries whose calls to the log service fail: stores submissions and
 * cancellations on their behalf.
 */
final class IntakeRoutes {
    /** Maximum time to wait if the other entry does not specify one, in milliseconds. */
    private static final long DEFAULT_WAIT_MILLIS = 750;

    private final IntakeWriter writer;

    /**
     * Creates the routes.
     *
     * @param writer stores the requests
     */
    IntakeRoutes(IntakeWriter writer) {
        this.writer = writer;
    }

    /** Adds the routes to a server. */
    void routes(HttpServer server) {
        server.route("POST", "/jobs/{id}", this::submit);
        server.route("DELETE", "/jobs/{id}", this::cancel);
    }

    private CompletableFuture<HttpServerResponse> submit(HttpCall call) {
        Submission submission = call.read(Submission.class);
        if (!submission.id().equals(call.pathVariable("id"))) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    "the path names job "
                            + call.pathVariable("id")
                            + ", but the body names job "
                            + submission.id());
        }
        return store(call, IntakeRequest.of(submission));
    }

    private CompletableFuture<HttpServerResponse> cancel(HttpCall call) {
        return store(call, IntakeRequest.cancellation(call.pathVariable("id")));
    }

    private CompletableFuture<HttpServerResponse> store(HttpCall call, IntakeRequest request) {
        return writer.storeForPeer(request, call.queryLong("wait", DEFAULT_WAIT_MILLIS))
                .thenApply(stored -> HttpServerResponse.json(Map.of()));
    }
}
