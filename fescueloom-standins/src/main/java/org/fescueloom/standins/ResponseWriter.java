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

/**
 * Writes responses to connections, either as valid HTTP or with faults for which HTTP libraries
 * have no support.
 */
final class ResponseWriter {
    private static final String CRLF = "\r\n";

    private ResponseWriter() {}

    /**
     * Writes a response in the form that it asks for.
     *
     * @param context the Jooby context of the call, not null
     * @param response the response, not null
     */
    static void write(Context context, StandInResponse response) {
        switch (response.form()) {
            case WHOLE -> writeWhole(context, response);
            case CUT_SHORT ->
                    writeRaw(
                            context,
                            head(response, announcedLength(response)),
                            half(response.body()));
            case NONSENSE -> writeRaw(context, bytes("%%% no answer %%%" + CRLF), new byte[0]);
            case DOUBLED -> writeTwice(context, response);
            case CLOSED -> channel(context).close();
            case NEVER -> {}
            default -> throw new IllegalStateException("unknown form: " + response.form());
        }
    }

    private static void writeWhole(Context context, StandInResponse response) {
        context.setResponseCode(response.status());
        response.headers().forEach(context::setResponseHeader);
        context.setResponseType(response.contentType());
        context.send(response.body());
    }

    private static void writeTwice(Context context, StandInResponse response) {
        ByteBuf once =
                Unpooled.wrappedBuffer(head(response, response.body().length), response.body());
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

    /**
     * Returns the value of the Content-Length header of a response that is cut short: at least 1,
     * so that an empty body also lacks a byte.
     */
    private static int announcedLength(StandInResponse response) {
        return Math.max(response.body().length, 1);
    }

    /** Returns the status line and the headers. */
    private static byte[] head(StandInResponse response, int length) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ").append(response.status()).append(" -");
        head.append(CRLF).append("Content-Type: ").append(response.contentType());
        head.append(CRLF).append("Content-Length: ").append(length);
        response.headers().forEach((k, v) -> head.append(CRLF).append(k).append(": ").append(v));
        return bytes(head.append(CRLF).append(CRLF).toString());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a context whose writes go to the socket without passing the HTTP encoder. */
    private static ChannelHandlerContext rawWriter(Context context) {
        return channel(context).pipeline().firstContext();
    }

    /** Returns the connection of a call, by reflection: Jooby has no public access to it. */
    private static Channel channel(Context context) {
        try {
            Field field = context.getClass().getDeclaredField("ctx");
            field.setAccessible(true);
            return ((ChannelHandlerContext) field.get(context)).channel();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(
                    "this version of Jooby does not expose the connection of a call", e);
        }
    }
}
