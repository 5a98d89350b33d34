package org.fescueloom.daemon.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Relays TCP connections to one address, counts their bytes, and can be cut. */
final class TcpRelay implements AutoCloseable {
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong bytes = new AtomicLong();
    private final ServerSocket server;
    private volatile String target;
    private volatile boolean cut;

    TcpRelay(String target) {
        this.target = target;
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void target(String address) {
        target = address;
    }

    long bytes() {
        return bytes.get();
    }

    void cut(boolean value) {
        cut = value;
        if (value) {
            sockets.forEach(TcpRelay::closeQuietly);
        }
    }

    @Override
    public void close() {
        cut(true);
        closeQuietly(server);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                if (cut) {
                    client.close();
                    continue;
                }
                int colon = target.lastIndexOf(':');
                Socket upstream =
                        new Socket(
                                target.substring(0, colon),
                                Integer.parseInt(target.substring(colon + 1)));
                sockets.add(client);
                sockets.add(upstream);
                daemon(() -> copy(client, upstream));
                daemon(() -> copy(upstream, client));
            } catch (IOException ignored) {
                // the next connection is accepted, or the loop ends with the server
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                bytes.addAndGet(n);
                out.write(buffer, 0, n);
            }
        } catch (IOException ignored) {
            // both ends are closed below
        }
        closeQuietly(from);
        closeQuietly(to);
        sockets.remove(from);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception ignored) {
            // nothing is left to close
        }
    }
}
