package org.fescueloom.daemon.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.KeeperCandidate;
import org.fescueloom.wire.KeeperList;

/**
 * Periodically asks the entries which agents are alive.
 *
 * <p>Each poll asks one entry, chosen at random. If the poll fails, the last list stays in use.
 */
public final class KeeperListPoller implements Service {
    private static final long POLL_INTERVAL_MILLIS = 1_500L;
    private static final int MAX_CONCURRENT_CALLS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

    private final ScheduledExecutorService executor = Timers.singleThread("keeper-list");
    private final HttpClient httpClient = new HttpClient(MAX_CONCURRENT_CALLS, CONNECT_TIMEOUT);
    private final Supplier<Collection<String>> entries;
    private final Metrics metrics;
    private volatile KeeperList lastList = new KeeperList("", List.of());

    /**
     * Creates a poller that sends no request before {@link #start}.
     *
     * @param entries gives the addresses of the live entries, not null
     * @param metrics counts failed polls, not null
     */
    public KeeperListPoller(Supplier<Collection<String>> entries, Metrics metrics) {
        this.entries = Objects.requireNonNull(entries, "entries");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Returns the agents that were alive according to the last response.
     *
     * @return the agents in order of their identifiers, empty before the first response, never null
     */
    public List<KeeperCandidate> candidates() {
        return lastList.candidates();
    }

    @Override
    public void start(String address) {
        executor.scheduleWithFixedDelay(
                this::requestList, 0L, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
        httpClient.close();
    }

    private void requestList() {
        List<String> addresses = new ArrayList<>(entries.get());
        if (addresses.isEmpty()) {
            return;
        }
        Collections.shuffle(addresses);
        String path =
                KeeperListRoutes.PATH
                        + "?"
                        + KeeperListRoutes.DIGEST_PARAMETER
                        + "="
                        + lastList.digest();
        httpClient
                .send(HttpClient.request("GET", addresses.get(0), path, null).build(), CALL_TIMEOUT)
                .whenComplete(this::handleResponse);
    }

    private void handleResponse(HttpClientResponse response, Throwable error) {
        if (error != null || !response.isSuccess()) {
            metrics.count("keeper.list-failures");
            return;
        }
        try {
            KeeperList list = response.read(KeeperList.class);
            // The entry leaves the candidates out if they are the ones that this process has.
            if (list.candidates() != null) {
                lastList = list;
            }
        } catch (SchedulerException e) {
            metrics.count("keeper.list-failures");
        }
    }
}
