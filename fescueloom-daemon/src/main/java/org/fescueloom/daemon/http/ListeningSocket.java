package org.fescueloom.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Objects;

/**
 * Listens on an address before there is a server to accept the connections.
 *
 * <p>The operating system completes connections meanwhile and keeps them and their first bytes
 * until a server takes the socket over, see {@link HttpServer#HttpServer(ListeningSocket, int)}. A
 * caller of a process that still loads its classes then waits instead of being refused.
 */
public final class ListeningSocket {
    /** Connections that wait to be accepted; further ones are not answered. */
    static final int BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private ListeningSocket(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Starts to listen.
     *
     * @param address the IP number and port, as "address:port", not null; port 0 takes any free one
     * @return the socket, never null
     * @throws IOException if the address cannot be listened on
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
     * @return IP number and port, as "address:port", never null
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
