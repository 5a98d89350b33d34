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
 * <p>Concurrent appends to the same stream are sent in groups. If the response to an append is
 * lost, the client reads the stream to find out whether the record was stored. Futures fail with a
 * {@link SchedulerException}: {@code LOG_UNAVAILABLE} if the log service has certainly not stored
 * the record, {@code LOG_UNDECIDED} if the outcome is unknown.
 */
public final class LogClient implements AutoCloseable {
    /** The time after which an append that has not completed fails. */
    public static final Duration APPEND_DEADLINE = Duration.ofSeconds(5);

    /** The timeout of a read, added to the time for which the log service waits for records. */
    public static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_CALLS_IN_FLIGHT = 16;

    /** The status of a read from an expired offset; the body is a page without records. */
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
     * @param addresses the addresses of the log service, each as "host:port", not null; after a
     *     failed call the next address is used
     * @param executor runs the append queues, not null
     * @param metrics counts appends and retries, not null
     */
    public LogClient(List<String> addresses, ScheduledExecutorService executor, Metrics metrics) {
        this.addresses = List.copyOf(addresses);
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Appends a record under a new random identifier.
     *
     * @param stream the stream, not null
     * @param payload the payload of the record, not null
     * @return a future of the offset of the record
     */
    public CompletableFuture<Long> append(String stream, JsonNode payload) {
        return append(stream, new NewRecord(UUID.randomUUID().toString(), payload));
    }

    /**
     * Appends a record.
     *
     * @param stream the stream, not null
     * @param record the record, not null; no other record may have its identifier
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
     * @param fromOffset the offset of the first record to read
     * @param maxRecords the maximum number of records, at least 1
     * @param waitMillis the time for which the log service waits if there is no record at {@code
     *     fromOffset} yet, in milliseconds
     * @return a future of the page; if {@code fromOffset} has expired, the page is empty and its
     *     first offset is above {@code fromOffset}; a record that cannot be parsed has a JSON null
     *     as its payload
     */
    public CompletableFuture<LogPage> read(
            String stream, long fromOffset, int maxRecords, long waitMillis) {
        String path =
                "/v1/streams/%s/records?from=%d&max=%d&waitMillis=%d"
                        .formatted(stream, fromOffset, maxRecords, waitMillis);
        return get(path, READ_TIMEOUT.plusMillis(waitMillis))
                .thenApply(response -> parsePage(response, fromOffset));
    }

    /**
     * Reads the first kept and the next offset of a stream.
     *
     * @param stream the stream, not null
     * @return a future of a page with the offsets and without records
     */
    public CompletableFuture<LogPage> readBounds(String stream) {
        return get("/v1/streams/" + stream, READ_TIMEOUT)
                .thenApply(response -> parsePage(response, 0L));
    }

    /** Cancels all calls and closes the connections. */
    @Override
    public void close() {
        httpClient.close();
    }

    /**
     * Sends one append call without retries.
     *
     * @param stream the stream, not null
     * @param records the records, not null
     * @param timeout the timeout of the call, not null
     * @return a future of the offset of the first record; fails with {@code LOG_UNAVAILABLE} if the
     *     log service has not stored the records, and with {@code LOG_UNDECIDED} if the outcome is
     *     unknown
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
            return CompletableFuture.failedFuture(
                    unavailable("the settings contain no address of a log service", null));
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
                            // If several calls fail, only one of them selects the next address.
                            currentAddressIndex.compareAndSet(
                                    index, (index + 1) % addresses.size());
                            throw callFailure(error);
                        });
    }

    private static SchedulerException callFailure(Throwable error) {
        Throwable cause = Failures.causeOf(error);
        if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
            return unavailable("cannot connect to the log service", cause);
        }
        return new SchedulerException(
                FailureType.LOG_UNDECIDED, "no response from the log service: " + cause, 0L, cause);
    }

    /** Creates the failure for a status: below 500, and for 503, the log has stored nothing. */
    private static SchedulerException statusFailure(int status) {
        if (status == STATUS_SERVICE_UNAVAILABLE
                || status == STATUS_TOO_MANY_REQUESTS
                || status < 500) {
            return unavailable("the log service responded with status " + status, null);
        }
        return new SchedulerException(
                FailureType.LOG_UNDECIDED, "the log service responded with status " + status);
    }

    private static SchedulerException unavailable(String detail, Throwable cause) {
        return new SchedulerException(FailureType.LOG_UNAVAILABLE, detail, 0L, cause);
    }

    private static LogPage parsePage(HttpClientResponse response, long fromOffset) {
        JsonNode page = readResponse(response, JsonNode.class);
        List<LogRecord> records = new ArrayList<>();
        long expectedOffset = fromOffset;
        for (JsonNode node : page.path("records")) {
            LogRecord record = parseRecord(node, expectedOffset);
            records.add(record);
            expectedOffset = record.offset() + 1;
        }
        return new LogPage(page.path("first").asLong(), page.path("next").asLong(), records);
    }

    /** Parses a record; one that cannot be parsed keeps its offset, so that readers can skip it. */
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
                    FailureType.LOG_UNDECIDED,
                    "the response of the log service cannot be parsed",
                    0L,
                    e);
        }
    }

    private record AppendRequest(List<NewRecord> records) {}

    private record AppendResponse(long offset) {}
}
