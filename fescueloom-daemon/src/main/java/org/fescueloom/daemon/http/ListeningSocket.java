package org.fescueloom.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Objects;

/**
 * Listens on an address before a server exists that accepts the connections.
 *
 * <p>The operating system completes the connections and keeps them with their first bytes until a
 * server takes over the socket, see {@link HttpServer#HttpServer(ListeningSocket, int)}. While the
 * process still loads its classes, its callers therefore wait and are not refused.
 */
public final class ListeningSocket {
    /** The maximum number of connections that wait to be accepted; others get no response. */
    static final int BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private ListeningSocket(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens a socket and starts to listen.
     *
     * @param address the IP address and the port, as "host:port", not null; port 0 selects any free
     *     port
     * @return the socket, never null
     * @throws IOException if the socket cannot listen on the address
     */
    public static ListeningSocket open(String address) throws IOException {
        int colon = Objects.requireNonNull(address, "address").lastIndexOf(':');
        String host = address.substring(0, Math.max(0, colon));
        int port = Integer.parseInt(address.substring(colon + 1));
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(host, port), BACKLOG);
            return new ListeningSocket(channel);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Returns the address that the socket listens on.
     *
     * @return the IP address and the port, as "host:port", never null
     */
    public String address() {
        return host() + ':' + port();
    }

    String host() {
        return channel.socket().getInetAddress().getHostAddress();
    }

    int port() {
        return channel.socket().getLocalPort();
    }

    ServerSocketChannel channel() {
        return channel;
    }
}
