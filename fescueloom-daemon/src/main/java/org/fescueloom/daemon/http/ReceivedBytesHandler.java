package org.fescueloom.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Counts the bytes that arrive on a connection before they are decoded. */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final ConnectionGuard guard;

    ReceivedBytesHandler(ConnectionGuard guard) {
        this.guard = guard;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes
                && !guard.receiveBytes(context, bytes.readableBytes())) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }
}
