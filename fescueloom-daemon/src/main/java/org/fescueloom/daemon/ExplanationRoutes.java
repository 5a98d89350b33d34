package org.fescueloom.daemon;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.report.ExplanationReport;

/** Serves {@code GET /v1/explain/{id}}, the explanation of a request or a job. */
final class ExplanationRoutes implements Service {
    private final List<Function<String, Optional<ExplanationReport>>> sources;

    /**
     * Creates the routes.
     *
     * @param sources functions that find the explanation for the identifier of a request or a job;
     *     the first one found is returned, not null
     */
    ExplanationRoutes(List<Function<String, Optional<ExplanationReport>>> sources) {
        this.sources = List.copyOf(Objects.requireNonNull(sources, "sources"));
    }

    @Override
    public void registerRoutes(HttpServer server) {
        server.route("GET", "/v1/explain/{id}", this::explain);
    }

    private CompletableFuture<HttpServerResponse> explain(HttpCall call) {
        String id = call.pathVariable("id");
        return sources.stream()
                .flatMap(source -> source.apply(id).stream())
                .findFirst()
                .map(
                        explanation ->
                                CompletableFuture.completedFuture(
                                        HttpServerResponse.json(explanation)))
                .orElseGet(
                        () ->
                                CompletableFuture.failedFuture(
                                        new SchedulerException(
                                                FailureType.NOT_FOUND,
                                                "this entry knows no request or job " + id)));
    }
}
