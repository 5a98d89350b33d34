package org.fescueloom.daemon.http;

import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.EventExecutor;
import java.lang.reflect.Field;
import java.util.function.Supplier;

/**
 * Adds handlers of our own to the connections of the server library, which has no call for that.
 *
 * <p>One keeps the bodies that the server holds within a budget. The other keeps the library from
 * parsing the bodies of HTML forms: Jooby decodes a body whose content type is that of a form and
 * drops its bytes. A prefix before the content type, which {@link HttpCall#header} removes again,
 * makes it take the body as it is.
 */
final class ConnectionHandlers {
    /** Stands before every content type that the server library sees. */
    private static final String PREFIX = "raw ";

    private static final String SERVER_HANDLER = "handler";

    private ConnectionHandlers() {}

    /**
     * Adds the handlers to all connections that a server accepts from now on.
     *
     * @param server the server, started, not null
     * @param budget makes the handler that keeps a connection within the budget, not null
     * @throws IllegalStateException if this version of the library hides its event loop
     */
    static void install(NettyServer server, Supplier<ChannelHandler> budget) {
        for (EventExecutor executor : acceptors(server)) {
            SingleThreadEventLoop loop = (SingleThreadEventLoop) executor;
            loop.submit(() -> listen(loop, budget)).syncUninterruptibly();
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

    private static void listen(SingleThreadEventLoop loop, Supplier<ChannelHandler> budget) {
        loop.registeredChannelsIterator()
                .forEachRemaining(c -> c.pipeline().addFirst(new AcceptHandler(budget)));
    }

    private static final class AcceptHandler extends ChannelInboundHandlerAdapter {
        private final Supplier<ChannelHandler> budget;

        AcceptHandler(Supplier<ChannelHandler> budget) {
            this.budget = budget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ((Channel) message).pipeline().addLast(new ConnectionInitializer(budget));
            context.fireChannelRead(message);
        }
    }

    private static final class ConnectionInitializer extends ChannelInitializer<Channel> {
        private final Supplier<ChannelHandler> budget;

        ConnectionInitializer(Supplier<ChannelHandler> budget) {
            this.budget = budget;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.eventLoop().execute(() -> addHandlers(channel));
        }

        private void addHandlers(Channel channel) {
            if (channel.pipeline().get(SERVER_HANDLER) != null) {
                channel.pipeline().addBefore(SERVER_HANDLER, null, new ContentTypeHandler());
                channel.pipeline().addBefore(SERVER_HANDLER, null, budget.get());
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
