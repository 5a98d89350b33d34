package org.fescueloom.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.wire.SocketAddresses;

/**
 * Sends requests to the first entry that responds.
 *
 * <p>If an entry refuses the connection or is shutting down, the request is sent to the next entry.
 * If the connection fails in another way, the request may have been executed, so only a repeatable
 * request is sent to the next entry.
 */
public final class EntryClient implements AutoCloseable {
    /** The timeout for the connection to one entry. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private static final MediaType JSON = MediaType.get("application/json");
    private static final String CONTENT_TYPE = "Content-Type";

    private final List<String> entries;
    private final OkHttpClient client;

    /**
     * Creates a client.
     *
     * @param entries the addresses of the entries, in the order in which they are tried, not empty
     * @param answerTimeout the timeout for reading a response, not null
     */
    public EntryClient(List<String> entries, Duration answerTimeout) {
        this.entries = List.copyOf(entries);
        client =
                new OkHttpClient.Builder()
                        .proxy(Proxy.NO_PROXY)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .readTimeout(Objects.requireNonNull(answerTimeout, "answerTimeout"))
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .build();
    }

    /**
     * Sends a request and returns the response, also if its status reports a failure.
     *
     * @param request the request, not null
     * @return the first response of an entry that is not shutting down, or the last response if
     *     every entry that responded is shutting down, never null
     * @throws CommandException with status {@code NO_ENTRY} if no entry responded, or {@code
     *     UNKNOWN} if the request is not repeatable and may have been executed without a response
     */
    public EntryResponse send(EntryRequest request) {
        List<String> failures = new ArrayList<>();
        EntryResponse shuttingDownResponse = null;
        for (String entry : entries) {
            try {
                EntryResponse response = sendTo(entry, request);
                if (!isShuttingDown(response)) {
                    return response;
                }
                shuttingDownResponse = response;
            } catch (ConnectException e) {
                failures.add(entry + " refused the connection");
            } catch (IOException e) {
                failures.add(entry + " did not respond: " + e.getMessage());
                if (!request.repeatable()) {
                    throw new CommandException(
                            ExitStatus.UNKNOWN,
                            "no response, and the request may have been executed: "
                                    + String.join("; ", failures));
                }
            }
        }
        if (shuttingDownResponse != null) {
            return shuttingDownResponse;
        }
        throw new CommandException(
                ExitStatus.NO_ENTRY, "no entry could be reached: " + String.join("; ", failures));
    }

    private EntryResponse sendTo(String entry, EntryRequest request) throws IOException {
        HttpUrl.Builder url =
                new HttpUrl.Builder()
                        .scheme("http")
                        .host(SocketAddresses.host(entry))
                        .port(SocketAddresses.port(entry));
        request.pathSegments().forEach(url::addPathSegment);
        request.queryParameters().forEach(url::addQueryParameter);
        Request.Builder httpRequest = new Request.Builder().url(url.build());
        request.headers().forEach(httpRequest::header);
        httpRequest.method(request.method(), requestBody(request));
        try (Response response = client.newCall(httpRequest.build()).execute()) {
            return new EntryResponse(
                    entry, response.code(), response.headers(), response.body().bytes());
        }
    }

    private static RequestBody requestBody(EntryRequest request) {
        if (request.body() == null) {
            return null;
        }
        String contentType = request.headers().get(CONTENT_TYPE);
        return RequestBody.create(
                request.body(), contentType == null ? JSON : MediaType.parse(contentType));
    }

    /**
     * Tells by status and body whether the entry refused the request because it is shutting down.
     */
    private static boolean isShuttingDown(EntryResponse response) {
        if (response.status() != FailureType.SHUTTING_DOWN.status()) {
            return false;
        }
        try {
            FailureBody failure = Json.read(response.body(), FailureBody.class);
            return failure.error() == FailureType.SHUTTING_DOWN;
        } catch (SchedulerException e) {
            return false;
        }
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
