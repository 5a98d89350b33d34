package org.fescueloom.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.tinylog.Logger;

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

    private static final byte[] NO_BODY = new byte[0];

    private final ServerLoad load;
    private final int maxBodyBytes;

    /**
     * The messages of further requests, which wait until the current request and its response are
     * complete.
     */
    private final Deque<Object> pendingMessages = new ArrayDeque<>();

    private final List<Runnable> disconnectTasks = new ArrayList<>();
    private ScheduledFuture<?> timeoutCheck;
    private Stage stage = Stage.IDLE;

    /** Whether no further part of a request is expected; true while no request is in progress. */
    private boolean requestComplete = true;

    /** Whether no response is still to be sent; true while no request is in progress. */
    private boolean responseComplete = true;

    private long stageSinceNanos = System.nanoTime();
    private HttpRequest requestHead;

    /** The buffer of the body, which may be longer than the body. */
    private byte[] body = NO_BODY;

    /** The number of bytes of the body that have arrived. */
    private int bodyBytes;

    /** Whether the current body exceeds the limit, so that the rest of it is discarded. */
    private boolean bodyTooLong;

    /** The stages that a connection passes through with each request. */
    private enum Stage {
        /** No request is in progress. */
        IDLE,
        /** A request is arriving. */
        RECEIVING,
        /** An {@link HttpHandler} is handling the request. */
        WORKING,
        /** The response is being sent. */
        SENDING
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

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        if (!load.connectionOpened()) {
            Logger.warn("event=connection-refused reason=too-many");
            context.close();
            return;
        }
        timeoutCheck =
                context.executor()
                        .scheduleAtFixedRate(
                                () -> closeIfTimedOut(context),
                                CHECK_INTERVAL_MILLIS,
                                CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
        super.channelActive(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        load.connectionClosed();
        if (timeoutCheck != null) {
            timeoutCheck.cancel(false);
        }
        releaseAll();
        if (!responseComplete) {
            disconnectTasks.forEach(Runnable::run);
        }
        disconnectTasks.clear();
        super.channelInactive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        boolean startsRequest = message instanceof HttpRequest;
        if (!pendingMessages.isEmpty() || startsRequest && !(requestComplete && responseComplete)) {
            pendingMessages.addLast(message);
            // The connection stops reading, which limits the number of pending messages.
            context.channel().config().setAutoRead(false);
            return;
        }
        process(context, message);
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
            body = NO_BODY;
            requestHead = null;
        }
    }

    /**
     * Returns the body of the request that is being handled.
     *
     * @return the complete body, never null
     */
    byte[] body() {
        return body.length == bodyBytes ? body : Arrays.copyOf(body, bodyBytes);
    }

    /** Frees the body and the pending messages. */
    private void releaseAll() {
        load.addBufferedBytes(-bodyBytes);
        bodyBytes = 0;
        body = NO_BODY;
        pendingMessages.forEach(ReferenceCountUtil::release);
        pendingMessages.clear();
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
        bodyTooLong = false;
        disconnectTasks.clear();
        requestHead = request;
        enterStage(Stage.RECEIVING);
    }

    private void receiveContent(ChannelHandlerContext context, HttpContent content)
            throws Exception {
        if (requestComplete) {
            return;
        }
        int bytes = content.content().readableBytes();
        if (bodyTooLong || bodyBytes + bytes > maxBodyBytes) {
            discardContent(context, content);
            return;
        }
        // The part is appended before the limit of the server is checked: addBufferedBytes() counts
        // the part, and refuse() subtracts bodyBytes, which must include the part.
        appendToBody(content.content(), bytes);
        if (!load.addBufferedBytes(bytes)) {
            refuse(
                    context,
                    FailureType.OVERLOADED,
                    "the server has "
                            + load.bufferedBytes()
                            + " bytes buffered; the limit is "
                            + load.limits().maxBufferedBytes());
            return;
        }
        if (content instanceof LastHttpContent) {
            requestComplete = true;
            enterStage(Stage.WORKING);
            load.addBufferedBytes(-bodyBytes);
            deliverRequest(context);
            // body() needs bodyBytes during the delivery.
            bodyBytes = 0;
            processPending(context);
        }
    }

    /**
     * Discards a part of a body that is too long, and refuses the request after the last part. If
     * the connection were closed while the caller still sends the body, the caller might not
     * receive the refusal.
     */
    private void discardContent(ChannelHandlerContext context, HttpContent content) {
        bodyTooLong = true;
        load.addBufferedBytes(-bodyBytes);
        bodyBytes = 0;
        body = NO_BODY;
        if (content instanceof LastHttpContent) {
            refuse(
                    context,
                    FailureType.BODY_TOO_LARGE,
                    "the body is longer than the limit of " + maxBodyBytes + " bytes");
        }
    }

    private void appendToBody(ByteBuf part, int bytes) {
        int neededLength = bodyBytes + bytes;
        if (neededLength > body.length) {
            // If the length is declared, the buffer gets this length at once. Otherwise the buffer
            // doubles, so that it is seldom copied. No body is longer than maxBodyBytes.
            long declared = HttpUtil.getContentLength(requestHead, 0L);
            long newLength = Math.max(declared, Math.max(neededLength, 2L * body.length));
            body = Arrays.copyOf(body, (int) Math.min(maxBodyBytes, newLength));
        }
        part.readBytes(body, bodyBytes, bytes);
        bodyBytes = neededLength;
    }

    /** Sends a failure and closes the connection. */
    private void refuse(ChannelHandlerContext context, FailureType type, String detail) {
        byte[] responseBody = Json.write(FailureBody.of(new SchedulerException(type, detail)));
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(type.status()),
                        Unpooled.wrappedBuffer(responseBody));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpServerResponse.JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, responseBody.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        if (type.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            // The unit of the header is seconds.
            response.headers().set(HttpHeaderNames.RETRY_AFTER, "1");
        }
        releaseAll();
        // The rest of the request is ignored.
        requestComplete = true;
        context.channel().config().setAutoRead(false);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
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
        load.addBufferedBytes(bytes);
        enterStage(Stage.SENDING);
        ChannelPromise writePromise = promise.unvoid();
        writePromise.addListener(
                written -> {
                    load.addBufferedBytes(-bytes);
                    if (isLastPart) {
                        responseComplete = true;
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
        if (!context.channel().config().isAutoRead()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void processFirstPending(ChannelHandlerContext context) throws Exception {
        process(context, pendingMessages.removeFirst());
        context.fireChannelReadComplete();
    }

    private void enterStage(Stage newStage) {
        if (stage != newStage) {
            stage = newStage;
            stageSinceNanos = System.nanoTime();
        }
    }

    /** Closes the connection if the current stage has lasted longer than its limit. */
    private void closeIfTimedOut(ChannelHandlerContext context) {
        Duration limit =
                switch (stage) {
                    case IDLE -> load.limits().idleTimeout();
                    case RECEIVING -> load.limits().receiveTimeout();
                    case SENDING -> load.limits().sendTimeout();
                    // The handling of a request has no limit here.
                    case WORKING -> null;
                };
        if (limit != null && System.nanoTime() - stageSinceNanos > limit.toNanos()) {
            Logger.debug("event=connection-closed reason=slow stage={}", stage);
            context.close();
        }
    }
}
