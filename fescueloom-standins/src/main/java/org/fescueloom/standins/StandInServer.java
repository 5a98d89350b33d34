package org.fescueloom.standins;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.tinylog.Logger;

/**
 * Serves the calls of one stand-in over HTTP and injects the kinds of faults that all stand-ins
 * have in common.
 *
 * <p>Routes are added before {@link #start()}. Faults never affect the calls of {@code /faults} and
 * {@code /records}.
 */
public final class StandInServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    /** Bodies up to this size stay in memory; Jooby writes longer ones to a file. */
    private static final int BUFFER_BYTES = 4 * 1024 * 1024;

    private static final int IO_THREADS = 2;
    private static final int MAX_START_ATTEMPTS = 5;

    private final ListenAddress listen;
    private final Jooby app = new Jooby();
    private final FaultPlan faults = new FaultPlan();
    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(2);
    private Server server;
    private int port;

    /**
     * Creates a server that does not listen yet.
     *
     * @param listen the address to listen on, not null
     * @param recordsSupplier returns the events that the stand-in has recorded, for {@code GET
     *     /records}, not null
     */
    public StandInServer(ListenAddress listen, Supplier<?> recordsSupplier) {
        this.listen = listen;
        timers.setRemoveOnCancelPolicy(true);
        routeWithoutFaults(
                "GET", "/records", request -> StandInResponse.json(200, recordsSupplier.get()));
        routeWithoutFaults(
                "GET", "/faults", request -> StandInResponse.json(200, faults.current()));
        routeWithoutFaults("PUT", "/faults", this::replaceFaults);
    }

    /**
     * Adds a route whose calls the current faults affect.
     *
     * @param method the HTTP method, not null
     * @param pattern the path with variable parts in braces, not null
     * @param handler handles the calls, not null
     */
    public void route(String method, String pattern, StandInHandler handler) {
        serve(method, pattern, request -> withFaults(request, handler));
    }

    /**
     * Adds a route whose calls no fault affects.
     *
     * @param method the HTTP method, not null
     * @param pattern the path with variable parts in braces, not null
     * @param handler handles the calls, not null
     */
    public void routeWithoutFaults(String method, String pattern, ResponseFunction handler) {
        serve(method, pattern, r -> CompletableFuture.completedFuture(handler.respond(r)));
    }

    /**
     * Starts listening. If the free port that was chosen has been taken in the meantime, tries
     * again with another free port.
     */
    public void start() {
        System.setProperty("jooby.useShutdownHook", "false");
        for (int attempt = 1; server == null; attempt++) {
            try {
                server = new NettyServer().setOptions(options()).start(app);
            } catch (RuntimeException e) {
                if (attempt == MAX_START_ATTEMPTS || listen.port() != 0) {
                    throw e;
                }
                Logger.warn(e, "cannot listen on the chosen free port; trying another one");
            }
        }
    }

    /**
     * Returns the port on which this server listens.
     *
     * @return the port, 0 before the start
     */
    public int port() {
        return port;
    }

    /**
     * Returns the address on which this server listens.
     *
     * @return the address as "address:port", never null
     */
    public String address() {
        return listen.host() + ":" + port;
    }

    /**
     * Returns the plan that decides which faults affect which calls.
     *
     * @return the plan, never null
     */
    public FaultPlan faults() {
        return faults;
    }

    /**
     * Returns the executor for delays and timed work.
     *
     * @return the executor, never null
     */
    public ScheduledExecutorService timers() {
        return timers;
    }

    @Override
    public void close() {
        timers.shutdownNow();
        if (server != null) {
            server.stop();
        }
    }

    private ServerOptions options() {
        ServerOptions options = new ServerOptions();
        options.setPort(listen.port());
        options.setHost(listen.host());
        options.setIoThreads(IO_THREADS);
        options.setWorkerThreads(1);
        options.setBufferSize(BUFFER_BYTES);
        options.setMaxRequestSize(MAX_BODY_BYTES);
        options.setDefaultHeaders(false);
        port = options.getPort();
        return options;
    }

    private StandInResponse replaceFaults(StandInRequest request) {
        faults.replace(Json.readStrict(request.body(), Faults.class));
        return StandInResponse.json(200, faults.current());
    }

    private void serve(String method, String pattern, StandInHandler handler) {
        app.route(method, pattern, context -> respond(context, handler))
                .setNonBlocking(true)
                .setReturnType(Context.class);
    }

    private Object respond(Context context, StandInHandler handler) {
        StandInRequest request = request(context);
        CompletableFuture<StandInResponse> response;
        try {
            response = handler.handle(request);
        } catch (RuntimeException e) {
            response = CompletableFuture.completedFuture(failure(e));
        }
        response.exceptionally(StandInServer::failure)
                .thenAcceptAsync(r -> ResponseWriter.write(context, r), timers);
        return context;
    }

    private static StandInRequest request(Context context) {
        Map<String, String> headers = context.headerMap();
        byte[] body = "GET".equals(context.getMethod()) ? new byte[0] : context.body().bytes();
        return new StandInRequest(
                context.getRequestPath(), context.pathMap(), context.queryMap(), headers, body);
    }

    private static StandInResponse failure(Throwable e) {
        Throwable cause = e.getCause() == null ? e : e.getCause();
        if (e instanceof SchedulerException s) {
            return StandInResponse.failure(s.type().status(), s.type(), s.getMessage());
        }
        if (cause instanceof IllegalArgumentException) {
            return StandInResponse.failure(400, FailureType.INVALID_FIELD, cause.toString());
        }
        Logger.error(e, "the handler of a call failed");
        return StandInResponse.failure(500, FailureType.INTERNAL, cause.toString());
    }

    private CompletableFuture<StandInResponse> withFaults(
            StandInRequest request, StandInHandler handler) {
        String path = request.path();
        if (faults.trigger(FaultKind.FREEZE, path).isPresent()) {
            return CompletableFuture.completedFuture(
                    StandInResponse.noResponse(StandInResponse.Form.NEVER));
        }
        if (faults.trigger(FaultKind.CLOSE, path).isPresent()) {
            return CompletableFuture.completedFuture(
                    StandInResponse.noResponse(StandInResponse.Form.CLOSED));
        }
        if (faults.trigger(FaultKind.REFUSE, path).isPresent()) {
            return CompletableFuture.completedFuture(refusal());
        }
        boolean losesResponse = faults.trigger(FaultKind.LOSE_ANSWER, path).isPresent();
        Optional<Fault> delay = faults.trigger(FaultKind.DELAY, path);
        CompletableFuture<StandInResponse> response =
                delay.map(
                                d ->
                                        completeAfter(d.millis())
                                                .thenCompose(nothing -> handler.handle(request)))
                        .orElseGet(() -> handler.handle(request));
        return losesResponse
                ? response.thenApply(r -> StandInResponse.noResponse(StandInResponse.Form.CLOSED))
                : response;
    }

    private CompletableFuture<Void> completeAfter(long millis) {
        CompletableFuture<Void> due = new CompletableFuture<>();
        timers.schedule(() -> due.complete(null), millis, TimeUnit.MILLISECONDS);
        return due;
    }

    private static StandInResponse refusal() {
        return StandInResponse.failure(503, FailureType.OVERLOADED, "a fault refuses this call");
    }

    /** Computes the response to a call at once. */
    @FunctionalInterface
    public interface ResponseFunction {
        /**
         * Computes the response to a call.
         *
         * @param request the call, not null
         * @return the response, never null
         */
        StandInResponse respond(StandInRequest request);
    }
}
