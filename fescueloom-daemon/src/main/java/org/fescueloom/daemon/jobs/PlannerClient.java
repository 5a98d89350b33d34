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

/** Finds the entry that plans and asks it what only the planner knows. */
public final class PlannerClient implements AutoCloseable {
    /** The query parameter that keeps an entry from asking any further. */
    public static final String LOCAL_PARAMETER = "local";

    private static final int MAX_CONCURRENT_CALLS = 4;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

    private final HttpClient http = new HttpClient(MAX_CONCURRENT_CALLS, CONNECT_TIMEOUT);
    private final BooleanSupplier local;
    private final Supplier<Optional<String>> address;

    /**
     * Creates the directory.
     *
     * @param local tells whether this entry plans, not null
     * @param address gives the address of the entry that plans, not null
     */
    public PlannerClient(BooleanSupplier local, Supplier<Optional<String>> address) {
        this.local = Objects.requireNonNull(local, "local");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Tells whether this entry plans.
     *
     * @return true if it does
     */
    public boolean isPlannerLocal() {
        return local.getAsBoolean();
    }

    /**
     * Asks the entry that plans.
     *
     * @param path the path without a query, not null
     * @return a future of its answer, empty if there is none in time; it never fails
     */
    public CompletableFuture<Optional<HttpServerResponse>> askPlanner(String path) {
        Optional<String> planner = address.get();
        if (planner.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        String query = path + "?" + LOCAL_PARAMETER + "=true";
        return http.send(
                        HttpClient.request("GET", planner.get(), query, null).build(), CALL_TIMEOUT)
                .handle((answer, error) -> error == null ? reply(answer) : Optional.empty());
    }

    @Override
    public void close() {
        http.close();
    }

    private static Optional<HttpServerResponse> reply(HttpClientResponse answer) {
        return answer.isSuccess()
                ? Optional.of(
                        new HttpServerResponse(
                                answer.status(), HttpServerResponse.JSON, Map.of(), answer.body()))
                : Optional.empty();
    }
}
