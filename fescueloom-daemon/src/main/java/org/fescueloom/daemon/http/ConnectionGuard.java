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
 * Guards one connection of a server.
 *
 * <p>Collects the body of each request once, in the heap, and frees it when the connection ends
 * early. Closes the connection when a request takes too long to arrive, an answer too long to be
 * taken, or no request comes; refuses what exceeds the limits; hands on one request after the
 * other, so that answers keep the order of pipelined requests; sends each answer at once, also one
 * that another event loop has completed; and tells when the other side goes away. Runs on the event
 * loop of its connection alone.
 */
final class ConnectionGuard extends ChannelDuplexHandler {
    private static final ThreadLocal<ConnectionGuard> CURRENT = new ThreadLocal<>();
    private static final long CHECK_INTERVAL_MILLIS = 1_000;
    private static final byte[] NO_BODY = new byte[0];

    private final ServerLoad load;
    private final int maxBodyBytes;
    private final Deque<Object> pendingMessages = new ArrayDeque<>();
    private final List<Runnable> onDisconnect = new ArrayList<>();
    private ScheduledFuture<?> timeoutCheck;
    private Stage stage = Stage.IDLE;
    private boolean requestComplete = true;
    private boolean responseComplete = true;
    private long stageSinceNanos = System.nanoTime();
    private HttpRequest requestHead;
    private byte[] body = NO_BODY;
    private int bodyBytes;
    private boolean bodyTooLong;

    /** Names what a connection is doing. */
    private enum Stage {
        IDLE,
        RECEIVING,
        WORKING,
        SENDING
    }

    /**
     * Creates the guard of a new connection.
     *
     * @param load counts what the connections of the server take, not null
     * @param maxBodyBytes the longest request body that the server takes, in bytes
     */
    ConnectionGuard(ServerLoad load, int maxBodyBytes) {
        this.load = load;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Returns the guard of the connection whose request is being handled by this thread.
     *
     * @return the guard; null outside of the handling of a request
     */
    static ConnectionGuard current() {
        return CURRENT.get();
    }

    /**
     * Runs a task when the connection is closed; a task of an earlier request is forgotten.
     *
     * @param task the task, not null
     */
    void onDisconnect(Runnable task) {
        onDisconnect.add(task);
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
            onDisconnect.forEach(Runnable::run);
        }
        onDisconnect.clear();
        super.channelInactive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        boolean startsRequest = message instanceof HttpRequest;
        if (!pendingMessages.isEmpty() || startsRequest && !(requestComplete && responseComplete)) {
            pendingMessages.addLast(message);
            context.channel().config().setAutoRead(false);
            return;
        }
        process(context, message);
    }

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

    /** Gives the server the head of a request whose body is whole, as a request without a body. */
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
     * @return the whole body, never null
     */
    byte[] body() {
        return body.length == bodyBytes ? body : Arrays.copyOf(body, bodyBytes);
    }

    private void releaseAll() {
        load.addBufferedBytes(-bodyBytes);
        bodyBytes = 0;
        body = NO_BODY;
        pendingMessages.forEach(ReferenceCountUtil::release);
        pendingMessages.clear();
    }

    private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            refuse(context, FailureType.MALFORMED_INPUT, "the head of the request is not HTTP");
            return;
        }
        requestComplete = false;
        responseComplete = false;
        bodyTooLong = false;
        onDisconnect.clear();
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
        appendToBody(content.content(), bytes);
        if (!load.addBufferedBytes(bytes)) {
            refuse(context, FailureType.OVERLOADED, "too many bytes are being received");
            return;
        }
        if (content instanceof LastHttpContent) {
            requestComplete = true;
            enterStage(Stage.WORKING);
            load.addBufferedBytes(-bodyBytes);
            deliverRequest(context);
            bodyBytes = 0;
            processPending(context);
        }
    }

    /** Reads a body that is too long to its end, since closing at once could lose the refusal. */
    private void discardContent(ChannelHandlerContext context, HttpContent content) {
        bodyTooLong = true;
        load.addBufferedBytes(-bodyBytes);
        bodyBytes = 0;
        body = NO_BODY;
        if (content instanceof LastHttpContent) {
            refuse(context, FailureType.BODY_TOO_LARGE, "the body is over the limit");
        }
    }

    private void appendToBody(ByteBuf part, int bytes) {
        int neededLength = bodyBytes + bytes;
        if (neededLength > body.length) {
            long declared = HttpUtil.getContentLength(requestHead, 0L);
            long newLength = Math.max(declared, Math.max(neededLength, 2L * body.length));
            body = Arrays.copyOf(body, (int) Math.min(maxBodyBytes, newLength));
        }
        part.readBytes(body, bodyBytes, bytes);
        bodyBytes = neededLength;
    }

    private void refuse(ChannelHandlerContext context, FailureType type, String detail) {
        byte[] body = Json.write(FailureBody.of(new SchedulerException(type, detail)));
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(type.status()),
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpServerResponse.JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        if (type.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, "1");
        }
        releaseAll();
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
        boolean last = message instanceof LastHttpContent;
        load.addBufferedBytes(bytes);
        enterStage(Stage.SENDING);
        ChannelPromise listened = promise.unvoid();
        listened.addListener(
                done -> {
                    load.addBufferedBytes(-bytes);
                    if (last) {
                        responseComplete = true;
                        onDisconnect.clear();
                        enterStage(requestComplete ? Stage.IDLE : Stage.RECEIVING);
                        processPending(context);
                    }
                });
        super.write(context, message, listened);
        if (last) {
            context.flush();
        }
    }

    private void processPending(ChannelHandlerContext context) throws Exception {
        while (!pendingMessages.isEmpty()) {
            boolean startsRequest = pendingMessages.peekFirst() instanceof HttpRequest;
            if (startsRequest && !(requestComplete && responseComplete)) {
                return;
            }
            processFirstPending(context);
        }
        if (requestComplete && !context.channel().config().isAutoRead()) {
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

    private void closeIfTimedOut(ChannelHandlerContext context) {
        Duration limit =
                switch (stage) {
                    case IDLE -> load.limits().idleTimeout();
                    case RECEIVING -> load.limits().receiveTimeout();
                    case SENDING -> load.limits().sendTimeout();
                    case WORKING -> null;
                };
        if (limit != null && System.nanoTime() - stageSinceNanos > limit.toNanos()) {
            Logger.debug("event=connection-closed reason=slow stage={}", stage);
            context.close();
        }
    }
}
