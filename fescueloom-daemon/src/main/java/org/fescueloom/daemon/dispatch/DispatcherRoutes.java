package org.fescueloom.daemon.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;

/** Takes the calls of entries and agents for the dispatcher, and says so if there is none here. */
final class DispatcherRoutes {
    private final Supplier<Dispatcher> dispatcher;
    private final Executor loop;

    /**
     * Creates the routes.
     *
     * @param dispatcher gives the dispatcher of this process, or null while it has none
     * @param loop the thread of the dispatcher
     */
    DispatcherRoutes(Supplier<Dispatcher> dispatcher, Executor loop) {
        this.dispatcher = dispatcher;
        this.loop = loop;
    }

    void routes(HttpServer server) {
        server.route("POST", "/agent/report", this::report);
        server.route("GET", "/jobs/{id}", this::view);
        server.route("GET", "/queues/{queue}/pending", this::pending);
    }

    private CompletableFuture<HttpReply> view(HttpCall call) {
        String id = call.path("id");
        return here(
                d ->
                        d.view(id)
                                .thenApply(
                                        v ->
                                                HttpReply.json(
                                                        new JobQueryForwarder.JobStateAnswer(v))));
    }

    private CompletableFuture<HttpReply> pending(HttpCall call) {
        String queue = call.path("queue");
        return here(
                d ->
                        EntryNode.completedReply(
                                new JobQueryForwarder.PendingCountAnswer(d.pendingJobs(queue))));
    }

    private CompletableFuture<HttpReply> report(HttpCall call) {
        AgentReport report = call.read(AgentReport.class);
        return here(d -> d.handleReport(report).thenApply(HttpReply::json));
    }

    /** Uses the dispatcher on its thread. */
    private interface DispatcherCall {
        /** Starts the call. */
        CompletableFuture<HttpReply> apply(Dispatcher dispatcher);
    }

    private CompletableFuture<HttpReply> here(DispatcherCall call) {
        return CompletableFuture.supplyAsync(
                        () -> {
                            Dispatcher mine = dispatcher.get();
                            return mine == null
                                    ? CompletableFuture.<HttpReply>failedFuture(
                                            Dispatcher.notDispatcherException())
                                    : call.apply(mine);
                        },
                        loop)
                .thenCompose(reply -> reply);
    }
}
