package org.fescueloom.standins.harness;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fescueloom.standins.ListenAddress;

/**
 * Relays TCP connections and can silence the open connections permanently, while new connections
 * work.
 *
 * <p>A silent connection stays open at both ends; the relay reads and discards all bytes that
 * either end sends.
 */
public final class SilentRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener;
    private final ListenAddress target;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    /**
     * Creates a relay that listens on a free port of the loopback interface.
     *
     * @param target the address to which connections are relayed, not null
     * @throws IOException if the relay cannot listen
     */
    public SilentRelay(ListenAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        startThread("relay-accept", this::acceptConnections);
    }

    /**
     * Returns the address on which this relay listens.
     *
     * @return the address as "address:port", never null
     */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Silences all open connections permanently. */
    public void silence() {
        connections.forEach(c -> c.silent = true);
    }

    /** Closes all open connections. */
    public void closeConnections() {
        connections.forEach(Connection::close);
    }

    @Override
    public void close() {
        closeQuietly(listener);
        closeConnections();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                relay(listener.accept());
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void relay(Socket clientSocket) {
        Socket targetSocket = new Socket();
        try {
            targetSocket.connect(new InetSocketAddress(target.host(), target.port()));
            clientSocket.setTcpNoDelay(true);
            targetSocket.setTcpNoDelay(true);
            Connection connection = new Connection(clientSocket, targetSocket);
            connections.add(connection);
            startThread("relay-out", () -> connection.forward(clientSocket, targetSocket));
            startThread("relay-in", () -> connection.forward(targetSocket, clientSocket));
        } catch (IOException e) {
            closeQuietly(clientSocket);
            closeQuietly(targetSocket);
        }
    }

    private static void startThread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private final class Connection {
        private final Socket clientSocket;
        private final Socket targetSocket;
        private volatile boolean silent;

        Connection(Socket clientSocket, Socket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
        }

        /** Copies bytes in one direction; closes both sockets at the end unless silent. */
        void forward(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (!silent) {
                        out.write(buffer, 0, n);
                    }
                }
            } catch (IOException ignored) {
                // the connection was closed, possibly by the thread of the other direction
            } finally {
                if (!silent) {
                    close();
                }
            }
        }

        void close() {
            connections.remove(this);
            closeQuietly(clientSocket);
            closeQuietly(targetSocket);
        }
    }
}
