package org.fescueloom.daemon.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.ConnectionSpec;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.json.Json;

/**
 * Sends HTTP requests to other processes, without retries and redirects.
 *
 * <p>Each call in flight occupies a thread; calls beyond the maximum wait until another one ends.
 */
public final class HttpClient implements AutoCloseable {
    private static final MediaType JSON_TYPE = MediaType.get(HttpServerResponse.JSON);

    /** Excludes the characters by which a URL could contain more than a host and a port. */
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("[A-Za-z0-9.-]{1,253}:[0-9]{1,5}");

    /** The time after which an idle connection is closed. */
    private static final long IDLE_CONNECTION_SECONDS = 30;

    private final OkHttpClient client;

    /**
     * Creates a client.
     *
     * @param maxCalls the maximum number of calls in flight, in total and to one address, at least
     *     1
     * @param connectTimeout the maximum time until a connection is open, not null
     */
    public HttpClient(int maxCalls, Duration connectTimeout) {
        this(maxCalls, connectTimeout, maxCalls);
    }

    /**
     * Creates a client that keeps a given number of idle connections.
     *
     * @param maxCalls the maximum number of calls in flight, in total and to one address, at least
     *     1
     * @param connectTimeout the maximum time until a connection is open, not null
     * @param maxIdleConnections the maximum number of idle connections that are kept; 0 makes each
     *     call open a new one
     * @throws IllegalArgumentException if {@code maxCalls} is not positive or {@code
     *     maxIdleConnections} is negative
     */
    public HttpClient(int maxCalls, Duration connectTimeout, int maxIdleConnections) {
        if (maxCalls < 1 || maxIdleConnections < 0) {
            throw new IllegalArgumentException(
                    "maxCalls must be at least 1 and maxIdleConnections at least 0, but they are "
                            + maxCalls
                            + " and "
                            + maxIdleConnections);
        }
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(maxCalls);
        dispatcher.setMaxRequestsPerHost(maxCalls);
        client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(
                                new ConnectionPool(
                                        maxIdleConnections,
                                        IDLE_CONNECTION_SECONDS,
                                        TimeUnit.SECONDS))
                        .connectTimeout(Objects.requireNonNull(connectTimeout, "connectTimeout"))
                        // Zero means no limit: each call has a single timeout, see send.
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(Duration.ZERO)
                        // No TLS: loading the trust store would take a large part of the start-up
                        // time.
                        .connectionSpecs(List.of(ConnectionSpec.CLEARTEXT))
                        .eventListener(new SendingStartListener())
                        .proxy(Proxy.NO_PROXY)
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .build();
    }

    /**
     * Creates a request with a JSON body.
     *
     * @param method the HTTP method, not null
     * @param address the address of the receiver as "host:port", not null
     * @param path the path with its query, starting with a slash, not null
     * @param body the value to write; null for no body, which only GET and DELETE allow
     * @return a builder of the request, never null
     */
    public static Request.Builder request(String method, String address, String path, Object body) {
        RequestBody content = body == null ? null : RequestBody.create(Json.write(body), JSON_TYPE);
        return new Request.Builder().url("http://" + address + path).method(method, content);
    }

    /**
     * Returns whether a text is an address to which requests can be sent.
     *
     * @param text the text, not null
     * @return whether the text is "host:port" with a port from 1 to 65535
     */
    public static boolean isAddress(String text) {
        return ADDRESS_PATTERN.matcher(text).matches()
                && HttpUrl.parse("http://" + text + "/") != null;
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @param timeout the maximum time until the complete response has arrived, not null
     * @return a future of the complete response; fails with a {@link ConnectException} if no part
     *     of the request was sent, and with another {@link IOException} if the response is missing
     *     or incomplete; cancelling the future cancels the call
     */
    public CompletableFuture<HttpClientResponse> send(Request request, Duration timeout) {
        AtomicBoolean sendingStarted = new AtomicBoolean();
        Call call =
                client.newCall(
                        request.newBuilder().tag(AtomicBoolean.class, sendingStarted).build());
        call.timeout().timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
        CompletableFuture<HttpClientResponse> future = new CompletableFuture<>();
        future.whenComplete(
                (value, error) -> {
                    if (future.isCancelled()) {
                        call.cancel();
                    }
                });
        call.enqueue(new ResponseCallback(future, sendingStarted));
        return future;
    }

    /** Closes the connections that no call is using. */
    public void closeIdleConnections() {
        client.connectionPool().evictAll();
    }

    /** Cancels all calls and closes all connections. */
    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /** Records on each request that its first byte is about to be sent. */
    private static final class SendingStartListener extends EventListener {
        @Override
        public void requestHeadersStart(Call call) {
            call.request().tag(AtomicBoolean.class).set(true);
        }
    }

    private record ResponseCallback(
            CompletableFuture<HttpClientResponse> future, AtomicBoolean sendingStarted)
            implements Callback {
        @Override
        public void onFailure(Call call, IOException e) {
            // Callers take a ConnectException as a proof that nothing was sent.
            boolean typeIsCorrect = sendingStarted.get() || e instanceof ConnectException;
            future.completeExceptionally(typeIsCorrect ? e : notSent(e));
        }

        private static ConnectException notSent(IOException cause) {
            ConnectException failure = new ConnectException("the request was not sent: " + cause);
            failure.initCause(cause);
            return failure;
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                byte[] body = response.body() == null ? new byte[0] : response.body().bytes();
                future.complete(new HttpClientResponse(response.code(), response.headers(), body));
            } catch (IOException e) {
                future.completeExceptionally(new TruncatedResponseException(e));
            }
        }
    }
}
