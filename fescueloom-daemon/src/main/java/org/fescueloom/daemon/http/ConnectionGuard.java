package org.fescueloom.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fescueloom.failure.FailureType;

/**
 * Enforces the limits of a server on one connection.
 *
 * <ul>
 *   <li>Collects the body of each request in one array on the heap, and frees the array if the
 *       connection closes early.
 *   <li>Closes the connection if receiving a request, sending a response or waiting for the next
 *       request takes too long.
 *   <li>Refuses connections and requests that exceed the limits.
 *   <li>Delivers pipelined requests one at a time, so that the responses keep their order.
 *   <li>Flushes each response when its last part is written, also if another thread has completed
 *       it.
 *   <li>Runs the tasks that an {@link HttpHandler} has registered for the case that the caller
 *       disconnects before the response is sent.
 * </ul>
 *
 * <p>All methods run on the event loop of the connection.
 */
final class ConnectionGuard extends ChannelDuplexHandler {
    /** The guard of the connection whose request the thread is handling. */
    private static final ThreadLocal<ConnectionGuard> CURRENT = new ThreadLocal<>();

    /** The time between two checks of the time limits. */
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    /**
     * The maximum number of pending messages for each request that may be pending. A request in one
     * read of the connection has fewer parts, unless its chunks are very short.
     */
    private static final int MESSAGES_PER_PENDING_REQUEST = 8;

    private final ServerLoad load;
    private final int maxBodyBytes;
    private final HeadReservation heads;
    private final RequestBody body;

    /**
     * The messages of further requests, which wait until the current request and its response are
     * complete.
     */
    private final Deque<Object> pendingMessages = new ArrayDeque<>();

    private final List<Runnable> disconnectTasks = new ArrayList<>();
    private ScheduledFuture<?> timeoutCheck;
    private volatile Channel channel;
    private volatile Stage stage = Stage.IDLE;
    private volatile boolean closing;
    private int pendingRequests;

    /** Whether no further part of a request is expected; true while no request is in progress. */
    private boolean requestComplete = true;

    /** Whether no response is still to be sent; true while no request is in progress. */
    private boolean responseComplete = true;

    private volatile long stageSinceNanos = System.nanoTime();
    private HttpRequest requestHead;

    /** Whether the body of the current request was discarded for lack of budget. */
    private boolean bodyDiscarded;

    /** The stages that a connection passes through with each request. */
    private enum Stage {
        /** No request is in progress. */
        IDLE(ServerLimit.IDLE_TIME, ServerLimits::idleTimeout),
        /** A request is arriving. */
        RECEIVING(ServerLimit.RECEIVE_TIME, ServerLimits::receiveTimeout),
        /** An {@link HttpHandler} is handling the request. */
        WORKING(null, null),
        /** The response is being sent. */
        SENDING(ServerLimit.SEND_TIME, ServerLimits::sendTimeout);

        private final ServerLimit limit;
        private final Function<ServerLimits, Duration> timeout;

        Stage(ServerLimit limit, Function<ServerLimits, Duration> timeout) {
            this.limit = limit;
            this.timeout = timeout;
        }
    }

    /**
     * Creates the guard of a new connection.
     *
     * @param load counts the connections and the buffered bytes of the server, not null
     * @param maxBodyBytes the maximum length of a request body, in bytes
     */
    ConnectionGuard(ServerLoad load, int maxBodyBytes) {
        this.load = load;
        this.maxBodyBytes = maxBodyBytes;
        heads = new HeadReservation(load.headBytes());
        body = new RequestBody(load.bodyBytes(), maxBodyBytes);
    }

    /**
     * Returns the guard of the connection whose request the current thread is handling.
     *
     * @return the guard; null if the current thread is not handling a request
     */
    static ConnectionGuard current() {
        return CURRENT.get();
    }

    /**
     * Adds a task that runs if the connection closes before the response to the current request is
     * sent.
     *
     * @param task the task, not null
     */
    void onDisconnect(Runnable task) {
        disconnectTasks.add(task);
    }

    /** Returns whether the connection belongs to a server. */
    boolean isOf(ServerLoad server) {
        return load == server;
    }

    /** Returns the bytes that are reserved for the body of the current request. */
    long reservedBodyBytes() {
        return body.reservedBytes();
    }

    /** Returns whether a response is being sent. */
    boolean isSending() {
        return stage == Stage.SENDING;
    }

    /** Returns whether a request is arriving or a response is being sent. */
    boolean isWithinRequest() {
        return stage == Stage.RECEIVING || stage == Stage.SENDING;
    }

    /** Returns how long the server has waited for this client; -1 if it does not wait for it. */
    long waitedNanos(long nowNanos) {
        boolean waits = !closing && channel != null && stage != Stage.WORKING;
        return waits ? nowNanos - stageSinceNanos : -1;
    }

    /**
     * Closes the connection because its place or its bytes are needed for another one; may be
     * called by any thread.
     *
     * @param limit the limit that was reached, for the report, not null
     * @return false if the connection is being closed already
     */
    boolean closeInFavourOfAnother(ServerLimit limit) {
        if (closing) {
            return false;
        }
        closing = true;
        load.budgets().report().reached(limit, channel.remoteAddress());
        channel.close();
        return true;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        channel = context.channel();
        if (!load.connectionOpened(this)) {
            closeAtLimit(context, ServerLimit.CONNECTIONS);
            return;
        }
        timeoutCheck =
                context.executor()
                        .scheduleAtFixedRate(
                                () -> check(context),
                                CHECK_INTERVAL_MILLIS,
                                CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
        super.channelActive(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        closing = true;
        load.connectionClosed(this);
        if (timeoutCheck != null) {
            timeoutCheck.cancel(false);
        }
        releaseAll();
        heads.releaseAll();
        if (!responseComplete) {
            disconnectTasks.forEach(Runnable::run);
        }
        disconnectTasks.clear();
        super.channelInactive(context);
    }

    /** Reports a limit that this client has reached, and closes the connection. */
    private void closeAtLimit(ChannelHandlerContext context, ServerLimit limit) {
        load.budgets().report().reached(limit, context.channel().remoteAddress());
        closing = true;
        context.close();
    }

    /**
     * Counts received bytes before they are decoded.
     *
     * @param context the context of this handler, not null
     * @param bytes the number of bytes
     * @return false if the bytes must be discarded, because the connection is being closed
     */
    boolean receiveBytes(ChannelHandlerContext context, int bytes) {
        if (closing) {
            return false;
        }
        if (stage == Stage.IDLE) {
            enterStage(Stage.RECEIVING);
        }
        if (heads.receive(bytes)) {
            return true;
        }
        if (load.closeAnother(ServerLimit.HEAD_BYTES, this, other -> true)) {
            return true;
        }
        closeAtLimit(context, ServerLimit.HEAD_BYTES);
        return false;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        heads.markDecoded();
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        boolean startsRequest = message instanceof HttpRequest;
        if (!pendingMessages.isEmpty() || startsRequest && !(requestComplete && responseComplete)) {
            addPending(context, message);
            return;
        }
        process(context, message);
    }

    private void addPending(ChannelHandlerContext context, Object message) {
        pendingMessages.addLast(message);
        if (message instanceof HttpRequest) {
            pendingRequests++;
        }
        // The connection stops reading, which limits the number of pending messages.
        context.channel().config().setAutoRead(false);
        int maxRequests = load.limits().maxPipelinedRequests();
        if (pendingRequests > maxRequests
                || pendingMessages.size() > maxRequests * MESSAGES_PER_PENDING_REQUEST) {
            releaseAll();
            closeAtLimit(context, ServerLimit.PIPELINED_REQUESTS);
        }
    }

    /** Processes a message and releases its buffer. */
    private void process(ChannelHandlerContext context, Object message) throws Exception {
        try {
            if (message instanceof HttpRequest request) {
                beginRequest(context, request);
            }
            if (message instanceof HttpContent content) {
                receiveContent(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Delivers the head of a completely received request to the server, as a request without a
     * body; {@link HttpCall} reads the body from this guard.
     */
    private void deliverRequest(ChannelHandlerContext context) throws Exception {
        requestHead.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        requestHead.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        CURRENT.set(this);
        try {
            super.channelRead(context, requestHead);
            super.channelRead(context, LastHttpContent.EMPTY_LAST_CONTENT);
        } finally {
            CURRENT.remove();
            body.clear();
            requestHead = null;
        }
    }

    /**
     * Returns the body of the request that is being handled.
     *
     * @return the complete body, never null
     */
    byte[] body() {
        return body.bytes();
    }

    /**
     * Returns whether the body of the request that is being handled was discarded, because too many
     * bytes of bodies are in progress.
     *
     * @return whether the body was discarded
     */
    boolean isBodyDiscarded() {
        return bodyDiscarded;
    }

    /**
     * Returns the maximum number of values in a JSON body.
     *
     * @return the number
     */
    int maxJsonValues() {
        return load.limits().maxJsonValues();
    }

    /** Counts and logs a body with too many JSON values. */
    void reportJsonValues() {
        load.budgets().report().reached(ServerLimit.JSON_VALUES, channel.remoteAddress());
    }

    /** Frees the body and the pending messages. */
    private void releaseAll() {
        body.release();
        pendingMessages.forEach(ReferenceCountUtil::release);
        pendingMessages.clear();
        pendingRequests = 0;
    }

    private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            refuse(
                    context,
                    FailureType.MALFORMED_INPUT,
                    "the head of the request is malformed or too long");
            return;
        }
        requestComplete = false;
        responseComplete = false;
        disconnectTasks.clear();
        requestHead = request;
        heads.beginRequest();
        bodyDiscarded = !body.begin(request);
        if (bodyDiscarded) {
            load.bodyRefused(this, context.channel().remoteAddress());
        }
        enterStage(Stage.RECEIVING);
    }

    private void receiveContent(ChannelHandlerContext context, HttpContent content)
            throws Exception {
        if (requestComplete) {
            return;
        }
        heads.removeBodyBytes(content.content().readableBytes());
        body.append(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        // If the connection were closed while the caller still sends a body that is too long, the
        // caller might not receive the refusal. Therefore the rest of the body is read first.
        if (body.isTooLong()) {
            refuse(
                    context,
                    FailureType.BODY_TOO_LARGE,
                    "the body is longer than the limit of " + maxBodyBytes + " bytes");
            return;
        }
        requestComplete = true;
        enterStage(Stage.WORKING);
        deliverRequest(context);
        processPending(context);
    }

    /** Sends a failure and closes the connection. */
    private void refuse(ChannelHandlerContext context, FailureType type, String detail) {
        releaseAll();
        // The rest of the request is ignored.
        requestComplete = true;
        closing = true;
        enterStage(Stage.SENDING);
        context.channel().config().setAutoRead(false);
        context.writeAndFlush(Refusal.response(type, detail))
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (!(message instanceof HttpContent content)) {
            super.write(context, message, promise);
            return;
        }
        int bytes = content.content().readableBytes();
        boolean isLastPart = message instanceof LastHttpContent;
        if (!load.reserveResponse(this, bytes)) {
            ReferenceCountUtil.release(message);
            promise.tryFailure(new ClosedChannelException());
            closeAtLimit(context, ServerLimit.RESPONSE_BYTES);
            return;
        }
        enterStage(Stage.SENDING);
        ChannelPromise writePromise = promise.unvoid();
        writePromise.addListener(
                written -> {
                    load.responseBytes().release(bytes);
                    if (isLastPart) {
                        responseComplete = true;
                        body.release();
                        disconnectTasks.clear();
                        // A response can be complete before its request.
                        enterStage(requestComplete ? Stage.IDLE : Stage.RECEIVING);
                        processPending(context);
                    }
                });
        super.write(context, message, writePromise);
        if (isLastPart) {
            context.flush();
        }
    }

    /**
     * Processes the pending messages up to the next request that has to wait for the current one.
     * Resumes reading if no message is left, also in the middle of a request.
     */
    private void processPending(ChannelHandlerContext context) throws Exception {
        while (!pendingMessages.isEmpty()) {
            boolean startsRequest = pendingMessages.peekFirst() instanceof HttpRequest;
            if (startsRequest && !(requestComplete && responseComplete)) {
                return;
            }
            processFirstPending(context);
        }
        if (!closing && !context.channel().config().isAutoRead()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void processFirstPending(ChannelHandlerContext context) throws Exception {
        Object message = pendingMessages.removeFirst();
        if (message instanceof HttpRequest) {
            pendingRequests--;
        }
        process(context, message);
        context.fireChannelReadComplete();
    }

    private void enterStage(Stage newStage) {
        if (stage != newStage) {
            stage = newStage;
            stageSinceNanos = System.nanoTime();
        }
    }

    /**
     * Closes the connection if the current stage has lasted longer than its limit. While the
     * connection has stopped reading, reads one buffer, because otherwise nothing would show that
     * the client has closed the connection.
     */
    private void check(ChannelHandlerContext context) {
        // The handling of a request has no limit here.
        if (stage.limit != null
                && System.nanoTime() - stageSinceNanos
                        > stage.timeout.apply(load.limits()).toNanos()) {
            closeAtLimit(context, stage.limit);
        } else if (!context.channel().config().isAutoRead()) {
            context.read();
        }
    }
}
