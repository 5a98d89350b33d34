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
 * Calls the first entry that answers.
 *
 * <p>An entry that refuses the connection or is shutting down is passed over. When an answer is
 * lost, only a call that may be repeated goes to the next entry.
 */
public final class EntryClient implements AutoCloseable {
    /** The longest wait for a connection to one entry. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private static final MediaType JSON = MediaType.get("application/json");
    private static final String CONTENT_TYPE = "Content-Type";

    private final List<String> entries;
    private final OkHttpClient client;

    /**
     * Creates a client.
     *
     * @param entries the addresses of entries in the order in which they are tried, not empty
     * @param answerTimeout the longest wait for an answer, not null
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
     * Sends a call and returns its answer, whatever its status.
     *
     * @param call the call, not null
     * @return the answer of the first entry that gave one, never null
     * @throws CommandException with status {@code NO_ENTRY} if no entry took the call, or {@code
     *     UNKNOWN} if an entry took a call that may not be repeated and its answer was lost
     */
    public EntryResponse send(EntryRequest call) {
        List<String> failures = new ArrayList<>();
        EntryResponse leaving = null;
        for (String entry : entries) {
            try {
                EntryResponse answer = sendTo(entry, call);
                if (!isShuttingDown(answer)) {
                    return answer;
                }
                leaving = answer;
            } catch (ConnectException e) {
                failures.add(entry + " refused the connection");
            } catch (IOException e) {
                failures.add(entry + " gave no answer: " + e.getMessage());
                if (!call.repeatable()) {
                    throw new CommandException(
                            ExitStatus.UNKNOWN,
                            "the answer was lost, and the call may have run: "
                                    + String.join("; ", failures));
                }
            }
        }
        if (leaving != null) {
            return leaving;
        }
        throw new CommandException(
                ExitStatus.NO_ENTRY, "no entry could be reached: " + String.join("; ", failures));
    }

    private EntryResponse sendTo(String entry, EntryRequest call) throws IOException {
        HttpUrl.Builder url =
                new HttpUrl.Builder()
                        .scheme("http")
                        .host(SocketAddresses.host(entry))
                        .port(SocketAddresses.port(entry));
        call.pathSegments().forEach(url::addPathSegment);
        call.queryParameters().forEach(url::addQueryParameter);
        Request.Builder request = new Request.Builder().url(url.build());
        call.headers().forEach(request::header);
        request.method(call.method(), requestBody(call));
        try (Response response = client.newCall(request.build()).execute()) {
            return new EntryResponse(
                    entry, response.code(), response.headers(), response.body().bytes());
        }
    }

    private static RequestBody requestBody(EntryRequest call) {
        if (call.body() == null) {
            return null;
        }
        String type = call.headers().get(CONTENT_TYPE);
        return RequestBody.create(call.body(), type == null ? JSON : MediaType.parse(type));
    }

    private static boolean isShuttingDown(EntryResponse answer) {
        if (answer.status() != FailureType.SHUTTING_DOWN.status()) {
            return false;
        }
        try {
            FailureBody failure = Json.read(answer.body(), FailureBody.class);
            return failure.error() == FailureType.SHUTTING_DOWN;
        } catch (SchedulerException e) {
            return false;
        }
    }

    /** Ends the connections. */
    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
