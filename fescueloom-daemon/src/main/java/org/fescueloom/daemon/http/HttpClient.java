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
 * Sends HTTP requests to other processes without any retry or redirect of its own.
 *
 * <p>Each call in flight takes one thread; further calls wait until one ends.
 */
public final class HttpClient implements AutoCloseable {
    private static final MediaType JSON_TYPE = MediaType.get(HttpServerResponse.JSON);

    /** Leaves out what would make a URL name something else than a host and a port. */
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("[A-Za-z0-9.-]{1,253}:[0-9]{1,5}");

    private static final long IDLE_CONNECTION_SECONDS = 30;

    private final OkHttpClient client;

    /**
     * Creates a client.
     *
     * @param maxCalls the most calls in flight, in all and to one address, at least 1
     * @param connectTimeout the longest time to open a connection, not null
     */
    public HttpClient(int maxCalls, Duration connectTimeout) {
        this(maxCalls, connectTimeout, maxCalls);
    }

    /**
     * Creates a client that keeps a given number of idle connections.
     *
     * @param maxCalls the most calls in flight, in all and to one address, at least 1
     * @param connectTimeout the longest time to open a connection, not null
     * @param idleConnections how many idle connections are kept; 0 makes each call open a fresh one
     * @throws IllegalArgumentException if {@code maxCalls} is not positive or {@code
     *     idleConnections} is negative
     */
    public HttpClient(int maxCalls, Duration connectTimeout, int maxIdleConnections) {
        if (maxCalls < 1 || maxIdleConnections < 0) {
            throw new IllegalArgumentException("maxCalls or idleConnections is out of range");
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
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(Duration.ZERO)
                        // Without TLS no trust store is loaded, which takes a good part of a start.
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
     * @param address the "address:port" of the receiver, not null
     * @param path the path with its query, starting with a slash, not null
     * @param body the value to write; null for no body, which only GET and DELETE may have
     * @return a builder of the request, never null
     */
    public static Request.Builder request(String method, String address, String path, Object body) {
        RequestBody content = body == null ? null : RequestBody.create(Json.write(body), JSON_TYPE);
        return new Request.Builder().url("http://" + address + path).method(method, content);
    }

    /**
     * Tells whether a text names a place to which requests can be sent.
     *
     * @param text the text, not null
     * @return whether it is "host:port" with a port from 1 to 65535
     */
    public static boolean isAddress(String text) {
        return ADDRESS_PATTERN.matcher(text).matches()
                && HttpUrl.parse("http://" + text + "/") != null;
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @param timeout the longest time until the whole answer is here, not null
     * @return a future of the whole answer; it fails with a {@link ConnectException} if nothing of
     *     the request was sent, and with another {@link IOException} if no answer came; to cancel
     *     the future ends the call
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

    /** Closes the connections that no call uses now. */
    public void closeIdleConnections() {
        client.connectionPool().evictAll();
    }

    /** Ends all calls and closes all connections. */
    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /** Notes on each request when the first byte of it is about to be sent. */
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
            boolean typeFits = sendingStarted.get() || e instanceof ConnectException;
            future.completeExceptionally(typeFits ? e : notSent(e));
        }

        private static ConnectException notSent(IOException cause) {
            ConnectException failure = new ConnectException("nothing was sent: " + cause);
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
