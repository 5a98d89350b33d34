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
 * Takes the bytes of a request's body out of the server's budget until its answer is written.
 *
 * <p>A body for which nothing is left is read and dropped, and the request is marked, so that the
 * caller gets a typed refusal in place of a broken connection.
 */
final class BodyBudgetHandler extends ChannelDuplexHandler {
    /** Marks a request whose body was dropped. */
    static final String BODY_DROPPED_HEADER = "Fescueloom-Body-Dropped";

    private final BodyBudget budget;
    private final long maxBodyBytes;
    private long reservedBytes;
    private boolean droppingBody;

    /**
     * Creates the handler of one connection.
     *
     * @param budget the budget of the server, not null
     * @param maxBodyBytes the longest body that is accepted, in bytes
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
        if (droppingBody && message instanceof HttpContent) {
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
        request.headers().remove(BODY_DROPPED_HEADER);
        long bytes = bytesToReserve(request);
        droppingBody = !budget.tryReserve(bytes);
        if (droppingBody) {
            request.headers().set(BODY_DROPPED_HEADER, "true");
        } else {
            reservedBytes = bytes;
        }
    }

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
