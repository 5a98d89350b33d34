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

/**
 * Relays TCP connections to a target address and counts their bytes. While cut, the relay closes
 * all connections at once, also new ones.
 */
final class TcpRelay implements AutoCloseable {
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong bytes = new AtomicLong();
    private final ServerSocket serverSocket;
    private volatile String target;
    private volatile boolean cut;

    TcpRelay(String target) {
        this.target = target;
        try {
            serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startDaemonThread(this::acceptConnections);
    }

    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    void setTarget(String newTarget) {
        target = newTarget;
    }

    long bytes() {
        return bytes.get();
    }

    void setCut(boolean newCut) {
        cut = newCut;
        if (newCut) {
            sockets.forEach(TcpRelay::closeQuietly);
        }
    }

    @Override
    public void close() {
        setCut(true);
        closeQuietly(serverSocket);
    }

    private void acceptConnections() {
        while (!serverSocket.isClosed()) {
            try {
                Socket clientSocket = serverSocket.accept();
                if (cut) {
                    clientSocket.close();
                    continue;
                }
                int colon = target.lastIndexOf(':');
                Socket targetSocket =
                        new Socket(
                                target.substring(0, colon),
                                Integer.parseInt(target.substring(colon + 1)));
                sockets.add(clientSocket);
                sockets.add(targetSocket);
                startDaemonThread(() -> copy(clientSocket, targetSocket));
                startDaemonThread(() -> copy(targetSocket, clientSocket));
            } catch (IOException ignored) {
                // The loop accepts the next connection, or ends because the server socket is
                // closed.
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                bytes.addAndGet(count);
                out.write(buffer, 0, count);
            }
        } catch (IOException ignored) {
            // Both sockets are closed below.
        }
        closeQuietly(from);
        closeQuietly(to);
        sockets.remove(from);
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception ignored) {
            // A socket that cannot be closed needs no further action.
        }
    }
}
