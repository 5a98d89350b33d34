package org.fescueloom.daemon;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.report.ExplanationReport;

/** Serves the explanation of a request or a job. */
final class ExplainRoutes implements Service {
    private final List<Function<String, Optional<ExplanationReport>>> sources;

    /**
     * Creates the routes.
     *
     * @param sources find an explanation by the identifier, the first that has one answers, not
     *     null
     */
    ExplainRoutes(List<Function<String, Optional<ExplanationReport>>> sources) {
        this.sources = List.copyOf(Objects.requireNonNull(sources, "sources"));
    }

    @Override
    public void routes(HttpServer server) {
        server.route("GET", "/v1/explain/{id}", this::explain);
    }

    private CompletableFuture<HttpReply> explain(HttpCall call) {
        String id = call.path("id");
        return sources.stream()
                .flatMap(source -> source.apply(id).stream())
                .findFirst()
                .map(value -> CompletableFuture.completedFuture(HttpReply.json(value)))
                .orElseGet(
                        () ->
                                CompletableFuture.failedFuture(
                                        new SchedulerException(
                                                FailureType.NOT_FOUND,
                                                "this entry knows no request or job " + id)));
    }
}
