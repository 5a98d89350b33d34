package org.fescueloom.daemon.jobs;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.http.HttpServerResponse;

/**
 * Forwards queries to the entry that is the planner, because only the planner knows why jobs wait.
 */
public final class PlannerClient implements AutoCloseable {
    /** The query parameter that keeps the receiving entry from forwarding the query again. */
    public static final String LOCAL_PARAMETER = "local";

    private static final int MAX_CONCURRENT_CALLS = 4;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

    private final HttpClient httpClient = new HttpClient(MAX_CONCURRENT_CALLS, CONNECT_TIMEOUT);
    private final BooleanSupplier local;
    private final Supplier<Optional<String>> address;

    /**
     * Creates a client.
     *
     * @param local tells whether this entry is the planner, not null
     * @param address gives the address of the planner, empty if none is known, not null
     */
    public PlannerClient(BooleanSupplier local, Supplier<Optional<String>> address) {
        this.local = Objects.requireNonNull(local, "local");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Tells whether this entry is the planner.
     *
     * @return true if this entry is the planner
     */
    public boolean isPlannerLocal() {
        return local.getAsBoolean();
    }

    /**
     * Sends a query to the planner.
     *
     * @param path the path without query parameters, not null
     * @return a future that never fails; its value is the response of the planner, empty if no
     *     planner is known, if the planner did not respond in time or if its response was not a
     *     success
     */
    public CompletableFuture<Optional<HttpServerResponse>> askPlanner(String path) {
        Optional<String> plannerAddress = address.get();
        if (plannerAddress.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        String pathWithQuery = path + "?" + LOCAL_PARAMETER + "=true";
        return httpClient
                .send(
                        HttpClient.request("GET", plannerAddress.get(), pathWithQuery, null)
                                .build(),
                        CALL_TIMEOUT)
                .handle(
                        (response, error) ->
                                error == null ? toServerResponse(response) : Optional.empty());
    }

    @Override
    public void close() {
        httpClient.close();
    }

    private static Optional<HttpServerResponse> toServerResponse(HttpClientResponse response) {
        return response.isSuccess()
                ? Optional.of(
                        new HttpServerResponse(
                                response.status(),
                                HttpServerResponse.JSON,
                                Map.of(),
                                response.body()))
                : Optional.empty();
    }
}
