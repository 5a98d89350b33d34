package org.fescueloom.daemon.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Request;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.NewRecord;

/**
 * Reads and appends records of the platform's log service.
 *
 * <p>Appends to one stream that meet are sent together. An append whose answer is lost is settled
 * by reading back. Futures fail with a {@link SchedulerException}: {@code LOG_UNAVAILABLE} if the
 * log surely did not take the record, {@code LOG_UNDECIDED} if it may have.
 */
public final class LogClient implements AutoCloseable {
    /** The time after which an append is given up. */
    public static final Duration APPEND_DEADLINE = Duration.ofSeconds(5);

    /** The time that a read may take beyond the time that it asks the log to wait. */
    public static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_CALLS_IN_FLIGHT = 16;
    private static final int STATUS_GONE = 410;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final HttpClient httpClient = new HttpClient(MAX_CALLS_IN_FLIGHT, CONNECT_TIMEOUT);
    private final Map<String, AppendQueue> queuesByStream = new ConcurrentHashMap<>();
    private final AtomicInteger currentAddressIndex = new AtomicInteger();
    private final List<String> addresses;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;

    /**
     * Creates a client.
     *
     * @param addresses the addresses of the log service, as "address:port"; the next one is tried
     *     when one fails, not null
     * @param executor runs the appends, not null
     * @param metrics counts appends and retries, not null
     */
    public LogClient(List<String> addresses, ScheduledExecutorService executor, Metrics metrics) {
        this.addresses = List.copyOf(addresses);
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Appends a record under a fresh identifier.
     *
     * @param stream the stream, not null
     * @param payload the content, not null
     * @return a future of the offset of the record
     */
    public CompletableFuture<Long> append(String stream, JsonNode payload) {
        return append(stream, new NewRecord(UUID.randomUUID().toString(), payload));
    }

    /**
     * Appends a record.
     *
     * @param stream the stream, not null
     * @param parseRecord the record, not null; its identifier is not used by any other record
     * @return a future of the offset of the record
     */
    public CompletableFuture<Long> append(String stream, NewRecord record) {
        Objects.requireNonNull(record, "record");
        return queuesByStream
                .computeIfAbsent(stream, s -> new AppendQueue(this, s, executor, metrics))
                .add(record);
    }

    /**
     * Reads records.
     *
     * @param stream the stream, not null
     * @param from the offset of the first one
     * @param max how many at most, at least 1
     * @param waitMillis how long the log waits for a record at {@code from}, in milliseconds
     * @return a future of the page; if {@code from} has expired, the page is empty and its first
     *     offset is above {@code from}; a record that cannot be read has a null payload
     */
    public CompletableFuture<LogPage> read(
            String stream, long from, int maxRecords, long waitMillis) {
        String path =
                "/v1/streams/%s/records?from=%d&max=%d&waitMillis=%d"
                        .formatted(stream, from, maxRecords, waitMillis);
        return get(path, READ_TIMEOUT.plusMillis(waitMillis))
                .thenApply(response -> parsePage(response, from));
    }

    /**
     * Asks for the bounds of a stream.
     *
     * @param stream the stream, not null
     * @return a future of a page without records
     */
    public CompletableFuture<LogPage> readBounds(String stream) {
        return get("/v1/streams/" + stream, READ_TIMEOUT)
                .thenApply(response -> parsePage(response, 0L));
    }

    /** Ends all calls. */
    @Override
    public void close() {
        httpClient.close();
    }

    /**
     * Sends one append without any retry.
     *
     * @return a future of the offset of the first record; {@code LOG_UNAVAILABLE} if the log did
     *     not take them, {@code LOG_UNDECIDED} if the answer was lost
     */
    CompletableFuture<Long> appendOnce(String stream, List<NewRecord> records, Duration timeout) {
        String path = "/v1/streams/" + stream + "/records";
        return send("POST", path, new AppendRequest(records), timeout)
                .thenApply(
                        response -> {
                            if (!response.isSuccess()) {
                                throw statusFailure(response.status());
                            }
                            return readResponse(response, AppendResponse.class).offset();
                        });
    }

    private CompletableFuture<HttpClientResponse> get(String path, Duration timeout) {
        return send("GET", path, null, timeout)
                .thenApply(
                        response -> {
                            if (!response.isSuccess() && response.status() != STATUS_GONE) {
                                throw statusFailure(response.status());
                            }
                            return response;
                        });
    }

    private CompletableFuture<HttpClientResponse> send(
            String method, String path, Object body, Duration timeout) {
        if (addresses.isEmpty()) {
            return CompletableFuture.failedFuture(unavailable("no log service is set", null));
        }
        int index = Math.floorMod(currentAddressIndex.get(), addresses.size());
        Request request = HttpClient.request(method, addresses.get(index), path, body).build();
        return httpClient
                .send(request, timeout)
                .handle(
                        (response, error) -> {
                            if (error == null) {
                                return response;
                            }
                            currentAddressIndex.compareAndSet(
                                    index, (index + 1) % addresses.size());
                            throw callFailure(error);
                        });
    }

    private static SchedulerException callFailure(Throwable error) {
        Throwable cause = Failures.causeOf(error);
        if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
            return unavailable("the log refused the connection", cause);
        }
        return new SchedulerException(
                FailureType.LOG_UNDECIDED, "the answer of the log was lost: " + cause, 0L, cause);
    }

    private static SchedulerException statusFailure(int status) {
        if (status == STATUS_SERVICE_UNAVAILABLE
                || status == STATUS_TOO_MANY_REQUESTS
                || status < 500) {
            return unavailable("the log answered with status " + status, null);
        }
        return new SchedulerException(
                FailureType.LOG_UNDECIDED, "the log answered with status " + status);
    }

    private static SchedulerException unavailable(String detail, Throwable cause) {
        return new SchedulerException(FailureType.LOG_UNAVAILABLE, detail, 0L, cause);
    }

    private static LogPage parsePage(HttpClientResponse response, long from) {
        JsonNode tree = readResponse(response, JsonNode.class);
        List<LogRecord> records = new ArrayList<>();
        long offset = from;
        for (JsonNode node : tree.path("records")) {
            LogRecord record = parseRecord(node, offset);
            records.add(record);
            offset = record.offset() + 1;
        }
        return new LogPage(tree.path("first").asLong(), tree.path("next").asLong(), records);
    }

    private static LogRecord parseRecord(JsonNode node, long expectedOffset) {
        try {
            return Json.convert(node, LogRecord.class);
        } catch (SchedulerException e) {
            long offset = node.path("offset").asLong(expectedOffset);
            return new LogRecord(offset, 0L, "", NullNode.getInstance());
        }
    }

    private static <T> T readResponse(HttpClientResponse response, Class<T> type) {
        try {
            return response.read(type);
        } catch (SchedulerException e) {
            throw new SchedulerException(
                    FailureType.LOG_UNDECIDED, "the answer of the log cannot be read", 0L, e);
        }
    }

    private record AppendRequest(List<NewRecord> records) {}

    private record AppendResponse(long offset) {}
}
