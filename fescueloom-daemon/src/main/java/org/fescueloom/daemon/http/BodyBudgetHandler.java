package org.fescueloom.daemon.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Reserves the bytes of a request body in the server's budget until the response is written.
 *
 * <p>If too little of the budget is left, the handler discards the body and marks the request, so
 * that the caller gets a typed refusal and not a closed connection.
 */
final class BodyBudgetHandler extends ChannelDuplexHandler {
    /** The header that marks a request whose body was discarded. */
    static final String BODY_DISCARDED_HEADER = "Fescueloom-Body-Dropped";

    private final BodyBudget budget;
    private final long maxBodyBytes;

    /** The bytes that are reserved for the body of the current request. */
    private long reservedBytes;

    private boolean discardingBody;

    /**
     * Creates the handler of a connection.
     *
     * @param budget the budget of the server, not null
     * @param maxBodyBytes the maximum length of a body, in bytes
     */
    BodyBudgetHandler(BodyBudget budget, long maxBodyBytes) {
        this.budget = budget;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (discardingBody && message instanceof HttpContent) {
            ReferenceCountUtil.release(message);
            if (message instanceof LastHttpContent) {
                context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT);
            }
            return;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (message instanceof LastHttpContent) {
            promise.unvoid().addListener(written -> releaseReserved());
        }
        super.write(context, message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseReserved();
        context.fireChannelInactive();
    }

    private void beginRequest(HttpRequest request) {
        releaseReserved();
        // Only this handler may set the header, not the caller.
        request.headers().remove(BODY_DISCARDED_HEADER);
        long bytes = bytesToReserve(request);
        discardingBody = !budget.tryReserve(bytes);
        if (discardingBody) {
            request.headers().set(BODY_DISCARDED_HEADER, "true");
        } else {
            reservedBytes = bytes;
        }
    }

    /** Returns the length of the body; for a chunked one, whose length is unknown, the maximum. */
    private long bytesToReserve(HttpRequest request) {
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        return chunked
                ? maxBodyBytes
                : Math.min(maxBodyBytes, HttpUtil.getContentLength(request, 0L));
    }

    private void releaseReserved() {
        budget.release(reservedBytes);
        reservedBytes = 0L;
    }
}
