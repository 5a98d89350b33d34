package org.fescueloom.daemon.http;

import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.internal.netty.NettyHandler;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.multipart.DefaultHttpDataFactory;
import io.netty.handler.codec.http.multipart.HttpDataFactory;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runs the application on Netty, with a {@link ConnectionGuard} on each connection.
 *
 * <p>Replaces the library's own Netty server, which has no settings for the following: bodies stay
 * in memory whatever their size, port 0 is resolved when the socket is bound, and the number of
 * connections is limited.
 */
final class GuardedNettyServer extends Server.Base {
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** The time without new tasks after which an event loop group shuts down. */
    private static final long SHUTDOWN_QUIET_MILLIS = 50;

    /** The maximum time that the shutdown of an event loop group takes. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    /**
     * Allocates buffers on the heap, where the budgets bound them. Pooled direct buffers of many
     * connections exceeded the direct memory of the process, and then no connection could read.
     */
    private static final ByteBufAllocator HEAP_ALLOCATOR =
            new PreferHeapByteBufAllocator(new UnpooledByteBufAllocator(false, true));

    private final ServerLoad load;
    private final ListeningSocket listeningSocket;
    private final List<Jooby> applications = new ArrayList<>();
    private ServerOptions options = new ServerOptions();
    private EventLoopGroup acceptor;
    private EventLoopGroup eventLoops;
    private ExecutorService workerExecutor;
    private int port;

    /**
     * Creates a server; {@link #start} begins to accept connections.
     *
     * @param load counts the connections and the buffered bytes, not null
     * @param port the port to listen on; 0 selects any free port
     * @param listeningSocket a socket that already listens and that the server takes over; null to
     *     open a socket at the start
     */
    GuardedNettyServer(ServerLoad load, int port, ListeningSocket listeningSocket) {
        this.load = load;
        this.port = port;
        this.listeningSocket = listeningSocket;
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port; before the start the port that was passed to the constructor
     */
    int port() {
        return port;
    }

    @Override
    public GuardedNettyServer setOptions(ServerOptions newOptions) {
        options = newOptions;
        return this;
    }

    @Override
    public ServerOptions getOptions() {
        return options;
    }

    @Override
    public String getName() {
        return "netty";
    }

    @Override
    public Server start(Jooby application) {
        applications.add(application);
        workerExecutor =
                Executors.newFixedThreadPool(
                        options.getWorkerThreads(), new DefaultThreadFactory("http-worker", true));
        fireStart(applications, workerExecutor);
        acceptor = new NioEventLoopGroup(1, new DefaultThreadFactory("http-acceptor"));
        eventLoops =
                new NioEventLoopGroup(options.getIoThreads(), new DefaultThreadFactory("http-io"));
        InetSocketAddress address = new InetSocketAddress(options.getHost(), port);
        port = bind(application, address).getPort();
        fireReady(applications);
        return this;
    }

    private InetSocketAddress bind(Jooby application, InetSocketAddress address) {
        HttpDataFactory dataFactory = new DefaultHttpDataFactory(false);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(acceptor, eventLoops)
                        .option(ChannelOption.SO_BACKLOG, ListeningSocket.BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, HEAP_ALLOCATOR)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(load.limits().receiveBufferBytes()))
                        .childHandler(new PipelineInitializer(application, dataFactory));
        ChannelFuture listening =
                listeningSocket == null
                        ? bootstrap.channel(NioServerSocketChannel.class).bind(address)
                        : bootstrap
                                .channelFactory(
                                        () -> new NioServerSocketChannel(listeningSocket.channel()))
                                .register();
        return (InetSocketAddress) listening.syncUninterruptibly().channel().localAddress();
    }

    @Override
    public synchronized Server stop() {
        fireStop(applications);
        applications.clear();
        stop(acceptor);
        stop(eventLoops);
        if (workerExecutor != null) {
            workerExecutor.shutdown();
        }
        return this;
    }

    private static void stop(EventLoopGroup group) {
        if (group != null) {
            group.shutdownGracefully(
                            SHUTDOWN_QUIET_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        }
    }

    /** Sets up the handlers of each new connection. */
    private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final Jooby application;
        private final HttpDataFactory dataFactory;

        private PipelineInitializer(Jooby application, HttpDataFactory dataFactory) {
            this.application = application;
            this.dataFactory = dataFactory;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            ConnectionGuard guard = new ConnectionGuard(load, options.getMaxRequestSize());
            channel.pipeline()
                    .addLast("received", new ReceivedBytesHandler(guard))
                    .addLast(
                            "codec",
                            new HttpServerCodec(
                                    MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                    .addLast("expect-continue", new HttpServerExpectContinueHandler())
                    .addLast("guard", guard)
                    .addLast(
                            "handler",
                            new NettyHandler(
                                    eventLoops.next(),
                                    application,
                                    options.getMaxRequestSize(),
                                    options.getBufferSize(),
                                    dataFactory,
                                    options.getDefaultHeaders(),
                                    false));
        }
    }
}
