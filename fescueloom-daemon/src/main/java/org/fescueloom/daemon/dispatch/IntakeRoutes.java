package org.fescueloom.daemon.dispatch;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.Submission;

/** Stores for other entries what the log service refuses to take from them. */
final class IntakeRoutes {
    /** How long an entry that does not say waits for the answer, in milliseconds. */
    private static final long DEFAULT_WAIT_MILLIS = 750;

    private final IntakeWriter writer;

    /**
     * Creates the routes.
     *
     * @param writer stores the items of this entry
     */
    IntakeRoutes(IntakeWriter writer) {
        this.writer = writer;
    }

    void routes(HttpServer server) {
        server.route("POST", "/jobs/{id}", this::submit);
        server.route("DELETE", "/jobs/{id}", this::cancel);
    }

    private CompletableFuture<HttpReply> submit(HttpCall call) {
        Submission submission = call.read(Submission.class);
        if (!submission.id().equals(call.path("id"))) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD, "the path names another job than the body");
        }
        return store(call, IntakeRequest.of(submission));
    }

    private CompletableFuture<HttpReply> cancel(HttpCall call) {
        return store(call, IntakeRequest.cancellation(call.path("id")));
    }

    private CompletableFuture<HttpReply> store(HttpCall call, IntakeRequest item) {
        return writer.storeForPeer(item, call.queryLong("wait", DEFAULT_WAIT_MILLIS))
                .thenApply(stored -> HttpReply.json(Map.of()));
    }
}
