package org.fescueloom.standins;

import io.jooby.Context;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Puts answers on connections, whole or with a fault that plain HTTP libraries do not offer. */
final class ReplyWriter {
    private static final String CRLF = "\r\n";

    private ReplyWriter() {}

    /**
     * Writes an answer in its form.
     *
     * @param context the call, not null
     * @param reply the answer, not null
     */
    static void write(Context context, StandInReply reply) {
        switch (reply.form()) {
            case WHOLE -> writeWhole(context, reply);
            case CUT_SHORT -> writeRaw(context, head(reply, announced(reply)), half(reply.body()));
            case NONSENSE -> writeRaw(context, bytes("%%% no answer %%%" + CRLF), new byte[0]);
            case DOUBLED -> writeTwice(context, reply);
            case CLOSED -> channel(context).close();
            case NEVER -> {}
            default -> throw new IllegalStateException("unknown form " + reply.form());
        }
    }

    private static void writeWhole(Context context, StandInReply reply) {
        context.setResponseCode(reply.status());
        reply.headers().forEach(context::setResponseHeader);
        context.setResponseType(reply.contentType());
        context.send(reply.body());
    }

    private static void writeTwice(Context context, StandInReply reply) {
        ByteBuf once = Unpooled.wrappedBuffer(head(reply, reply.body().length), reply.body());
        ByteBuf twice = Unpooled.wrappedBuffer(once, once.copy());
        rawWriter(context).writeAndFlush(twice);
    }

    private static void writeRaw(Context context, byte[] head, byte[] body) {
        rawWriter(context)
                .writeAndFlush(Unpooled.wrappedBuffer(head, body))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static byte[] half(byte[] body) {
        return Arrays.copyOf(body, body.length / 2);
    }

    private static int announced(StandInReply reply) {
        return Math.max(reply.body().length, 1);
    }

    private static byte[] head(StandInReply reply, int length) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ").append(reply.status()).append(" -");
        head.append(CRLF).append("Content-Type: ").append(reply.contentType());
        head.append(CRLF).append("Content-Length: ").append(length);
        reply.headers().forEach((k, v) -> head.append(CRLF).append(k).append(": ").append(v));
        return bytes(head.append(CRLF).append(CRLF).toString());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a context from which writes go to the socket without passing the HTTP encoder. */
    private static ChannelHandlerContext rawWriter(Context context) {
        return channel(context).pipeline().firstContext();
    }

    /** Jooby has no public way to the connection of a call. */
    private static Channel channel(Context context) {
        try {
            Field field = context.getClass().getDeclaredField("ctx");
            field.setAccessible(true);
            return ((ChannelHandlerContext) field.get(context)).channel();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this version of Jooby hides the connection", e);
        }
    }
}
