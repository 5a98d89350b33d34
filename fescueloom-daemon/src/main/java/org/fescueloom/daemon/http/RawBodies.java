package org.fescueloom.daemon.http;

import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.EventExecutor;
import java.lang.reflect.Field;

/**
 * Keeps the server library from parsing the bodies of HTML forms.
 *
 * <p>Jooby decodes a body whose content type is that of a form and drops its bytes. A prefix before
 * the content type, which {@link HttpCall#header} removes again, makes it take the body as it is.
 */
final class RawBodies {
    /** Stands before every content type that the server library sees. */
    private static final String PREFIX = "raw ";

    private static final String SERVER_HANDLER = "handler";

    private RawBodies() {}

    /**
     * Makes all connections that a server accepts from now on take every body as it is.
     *
     * @param server the server, started, not null
     * @throws IllegalStateException if this version of the library hides its event loop
     */
    static void install(NettyServer server) {
        for (EventExecutor executor : acceptors(server)) {
            SingleThreadEventLoop loop = (SingleThreadEventLoop) executor;
            loop.submit(() -> loop.registeredChannelsIterator().forEachRemaining(RawBodies::listen))
                    .syncUninterruptibly();
        }
    }

    /**
     * Removes the prefix of a content type.
     *
     * @param value the value of any header, not null
     * @return the value without the prefix, never null
     */
    static String original(String value) {
        return value.startsWith(PREFIX) ? value.substring(PREFIX.length()) : value;
    }

    private static EventLoopGroup acceptors(NettyServer server) {
        try {
            Field field = NettyServer.class.getDeclaredField("acceptorloop");
            field.setAccessible(true);
            return (EventLoopGroup) field.get(server);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("the server library hides its event loop", e);
        }
    }

    private static void listen(Channel listener) {
        listener.pipeline().addFirst(new AcceptHandler());
    }

    private static final class AcceptHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ((Channel) message).pipeline().addLast(new ConnectionInitializer());
            context.fireChannelRead(message);
        }
    }

    private static final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.eventLoop().execute(() -> addHandler(channel));
        }

        private static void addHandler(Channel channel) {
            if (channel.pipeline().get(SERVER_HANDLER) != null) {
                channel.pipeline().addBefore(SERVER_HANDLER, null, new ContentTypeHandler());
            }
        }
    }

    private static final class ContentTypeHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpRequest request) {
                String type = request.headers().get(HttpHeaderNames.CONTENT_TYPE);
                if (type != null) {
                    request.headers().set(HttpHeaderNames.CONTENT_TYPE, PREFIX + type);
                }
            }
            context.fireChannelRead(message);
        }
    }
}
