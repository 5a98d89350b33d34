package org.fescueloom.daemon.http;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.tinylog.Logger;

/** Serves HTTP routes on one address; every failure is sent as typed JSON. */
public final class HttpServer implements AutoCloseable {
    /** The number of event loop threads, which also run the handlers. */
    private static final int IO_THREADS = 2;

    /** The number of threads that the library offers for blocking work. */
    private static final int WORKER_THREADS = 2;

    /** Disables the library's shutdown hook, which would close connections before the drain. */
    private static final String SHUTDOWN_HOOK_PROPERTY = "jooby.useShutdownHook";

    /** Disables the native transport, which unpacks a file: VMs have no disks. */
    private static final String NO_NATIVE_TRANSPORT_PROPERTY = "io.netty.transport.noNative";

    /** The time after which callers refused for lack of budget are told to retry. */
    private static final long RETRY_AFTER_MILLIS = 200;

    /** Reserves all of the budgets for the only server that uses them. */
    private static final double WHOLE = 1.0;

    private final Jooby app = new Jooby();
    private final ServerOptions options = new ServerOptions();
    private final GuardedNettyServer server;
    private boolean started;

    /**
     * Creates a server; {@link #start} begins to listen.
     *
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 selects any free port
     * @param maxBodyBytes the maximum length of a request body, in bytes; bodies stay in memory
     * @throws IllegalArgumentException if {@code maxBodyBytes} is not positive or exceeds the
     *     budget
     */
    public HttpServer(String host, int port, int maxBodyBytes) {
        this(host, port, maxBodyBytes, ServerLimits.DEFAULT);
    }

    /**
     * Creates a server with given limits; {@link #start} begins to listen.
     *
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 selects any free port
     * @param maxBodyBytes the maximum length of a request body, in bytes
     * @param limits limits the connections and the buffered bytes, not null
     * @throws IllegalArgumentException if {@code maxBodyBytes} is not positive or exceeds the
     *     budget
     */
    public HttpServer(String host, int port, int maxBodyBytes, ServerLimits limits) {
        this(
                Objects.requireNonNull(host, "host"),
                port,
                maxBodyBytes,
                ownBudgets(limits),
                WHOLE,
                null);
    }

    /**
     * Creates a server on a socket that already listens. From its start on, the server accepts the
     * connections that wait there.
     *
     * @param socket the socket, not null
     * @param maxBodyBytes the maximum length of a request body, in bytes
     * @throws IllegalArgumentException if {@code maxBodyBytes} is not positive or exceeds the
     *     budget
     */
    public HttpServer(ListeningSocket socket, int maxBodyBytes) {
        this(socket, maxBodyBytes, ownBudgets(ServerLimits.DEFAULT), WHOLE);
    }

    /**
     * Creates a server that shares budgets with the other servers of the process.
     *
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 selects any free port
     * @param maxBodyBytes the maximum length of a request body, in bytes
     * @param budgets the budgets of the process, not null
     * @param reservedFraction the fraction of each budget that only this server can use, 0 to 1
     * @throws IllegalArgumentException if {@code maxBodyBytes} is not positive or exceeds the
     *     budget, or if more than the whole of a budget would be reserved
     */
    public HttpServer(
            String host,
            int port,
            int maxBodyBytes,
            ServerBudgets budgets,
            double reservedFraction) {
        this(
                Objects.requireNonNull(host, "host"),
                port,
                maxBodyBytes,
                budgets,
                reservedFraction,
                null);
    }

    /**
     * Creates a server on a socket that already listens, which shares budgets with the other
     * servers of the process.
     *
     * @param socket the socket, not null
     * @param maxBodyBytes the maximum length of a request body, in bytes
     * @param budgets the budgets of the process, not null
     * @param reservedFraction the fraction of each budget that only this server can use, 0 to 1
     * @throws IllegalArgumentException if {@code maxBodyBytes} is not positive or exceeds the
     *     budget, or if more than the whole of a budget would be reserved
     */
    public HttpServer(
            ListeningSocket socket,
            int maxBodyBytes,
            ServerBudgets budgets,
            double reservedFraction) {
        this(socket.host(), socket.port(), maxBodyBytes, budgets, reservedFraction, socket);
    }

    private HttpServer(
            String host,
            int port,
            int maxBodyBytes,
            ServerBudgets budgets,
            double reservedFraction,
            ListeningSocket socket) {
        if (maxBodyBytes <= 0) {
            throw new IllegalArgumentException("maxBodyBytes is not positive: " + maxBodyBytes);
        }
        if (maxBodyBytes > budgets.limits().maxBodyBytes()) {
            throw new IllegalArgumentException(
                    "a body of "
                            + maxBodyBytes
                            + " bytes does not fit in the budget of "
                            + budgets.limits().maxBodyBytes());
        }
        System.setProperty(SHUTDOWN_HOOK_PROPERTY, "false");
        System.setProperty(NO_NATIVE_TRANSPORT_PROPERTY, "true");
        options.setHost(host);
        options.setIoThreads(IO_THREADS);
        options.setWorkerThreads(WORKER_THREADS);
        options.setMaxRequestSize(maxBodyBytes);
        options.setDefaultHeaders(false);
        app.setExecutionMode(ExecutionMode.EVENT_LOOP);
        app.error(HttpServer::sendError);
        server = new GuardedNettyServer(budgets.load(reservedFraction), port, socket);
    }

    private static ServerBudgets ownBudgets(ServerLimits limits) {
        return new ServerBudgets(limits, counter -> {});
    }

    /**
     * Adds a route; must be called before the start.
     *
     * @param method the HTTP method, not null
     * @param pattern the path with variables in braces, not null
     * @param handler handles the requests, not null
     */
    public void route(String method, String pattern, HttpHandler handler) {
        Objects.requireNonNull(handler, "handler");
        app.route(method, pattern, context -> handle(context, handler));
    }

    /** Starts to listen. */
    public void start() {
        server.setOptions(options).start(app);
        started = true;
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /** Stops listening and closes all connections; does nothing before the start. */
    @Override
    public void close() {
        if (started) {
            server.stop();
        }
    }

    private static Object handle(Context context, HttpHandler handler) {
        CompletableFuture<HttpServerResponse> future;
        try {
            requireBodyNotDiscarded();
            future = handler.handle(new HttpCall(context));
        } catch (RuntimeException e) {
            future = CompletableFuture.failedFuture(e);
        }
        future.whenComplete((response, error) -> send(context, response, error));
        return context;
    }

    private static void requireBodyNotDiscarded() {
        if (ConnectionGuard.current().isBodyDiscarded()) {
            throw new SchedulerException(
                    FailureType.OVERLOADED,
                    "too many bytes of request bodies in progress",
                    RETRY_AFTER_MILLIS);
        }
    }

    private static void send(Context context, HttpServerResponse response, Throwable error) {
        try {
            write(
                    context,
                    error == null
                            ? response
                            : HttpServerResponse.failure(toSchedulerException(error)));
        } catch (RuntimeException e) {
            Logger.debug(e, "event=reply-not-sent path={}", context.getRequestPath());
        }
    }

    private static void sendError(Context context, Throwable error, StatusCode status) {
        SchedulerException failure =
                switch (status.value()) {
                    case StatusCode.NOT_FOUND_CODE ->
                            new SchedulerException(
                                    FailureType.NOT_FOUND, "the path does not exist");
                    case StatusCode.METHOD_NOT_ALLOWED_CODE ->
                            new SchedulerException(
                                    FailureType.METHOD_NOT_ALLOWED,
                                    "the path does not support the method");
                    case StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE ->
                            new SchedulerException(
                                    FailureType.BODY_TOO_LARGE,
                                    "the body is longer than the limit");
                    default -> toSchedulerException(error);
                };
        write(context, HttpServerResponse.failure(failure));
    }

    private static void write(Context context, HttpServerResponse response) {
        context.setResponseCode(response.status());
        context.setResponseType(response.contentType());
        response.headers().forEach(context::setResponseHeader);
        context.send(response.body());
    }

    private static SchedulerException toSchedulerException(Throwable error) {
        Throwable cause = Failures.causeOf(error);
        if (cause instanceof SchedulerException failure) {
            return failure;
        }
        Logger.error(cause, "event=internal-failure");
        return new SchedulerException(FailureType.INTERNAL, "internal failure", 0L, cause);
    }
}
