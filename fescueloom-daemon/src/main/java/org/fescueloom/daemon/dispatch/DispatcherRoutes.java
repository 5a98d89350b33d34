package org.fescueloom.daemon.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;

/**
 * Routes the calls of entries and agents to the dispatcher of this process. Calls fail with {@code
 * NOT_DISPATCHER} if this process is not the dispatcher.
 */
final class DispatcherRoutes {
    private final Supplier<Dispatcher> dispatcher;
    private final Executor loop;

    /**
     * Creates the routes.
     *
     * @param dispatcher supplies the dispatcher of this process, or null if there is none
     * @param loop the event loop of the dispatcher
     */
    DispatcherRoutes(Supplier<Dispatcher> dispatcher, Executor loop) {
        this.dispatcher = dispatcher;
        this.loop = loop;
    }

    void routes(HttpServer server) {
        server.route("POST", "/agent/report", this::report);
        server.route("GET", "/jobs/{id}", this::status);
        server.route("GET", "/queues/{queue}/pending", this::pending);
    }

    private CompletableFuture<HttpServerResponse> status(HttpCall call) {
        String id = call.pathVariable("id");
        return withDispatcher(
                d ->
                        d.status(id)
                                .thenApply(
                                        status ->
                                                HttpServerResponse.json(
                                                        new JobQueryForwarder.JobStateResponse(
                                                                status))));
    }

    private CompletableFuture<HttpServerResponse> pending(HttpCall call) {
        String queue = call.pathVariable("queue");
        return withDispatcher(
                d ->
                        EntryNode.completedReply(
                                new JobQueryForwarder.PendingCountResponse(d.pendingJobs(queue))));
    }

    private CompletableFuture<HttpServerResponse> report(HttpCall call) {
        AgentReport report = call.read(AgentReport.class);
        return withDispatcher(d -> d.handleReport(report).thenApply(HttpServerResponse::json));
    }

    /** Calls the dispatcher on its event loop. */
    private interface DispatcherCall {
        /** Starts the call. */
        CompletableFuture<HttpServerResponse> apply(Dispatcher dispatcher);
    }

    private CompletableFuture<HttpServerResponse> withDispatcher(DispatcherCall call) {
        return CompletableFuture.supplyAsync(
                        () -> {
                            Dispatcher local = dispatcher.get();
                            return local == null
                                    ? CompletableFuture.<HttpServerResponse>failedFuture(
                                            Dispatcher.notDispatcherException())
                                    : call.apply(local);
                        },
                        loop)
                .thenCompose(reply -> reply);
    }
}
