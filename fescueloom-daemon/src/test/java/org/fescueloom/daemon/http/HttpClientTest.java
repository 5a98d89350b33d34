package org.fescueloom.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.Failures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpClientTest {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final long TEST_TIMEOUT_SECONDS = 20;

    private final HttpClient http = new HttpClient(4, Duration.ofMillis(200));
    private final List<Socket> openSockets = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        http.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    private Throwable failure(int port) {
        return http.send(
                        HttpClient.request("POST", "127.0.0.1:" + port, "/", List.of()).build(),
                        CALL_TIMEOUT)
                .handle((response, error) -> error == null ? null : Failures.causeOf(error))
                .orTimeout(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    /** Fills the accept queue of a server, so that no further connection can be opened. */
    private void fillAcceptQueue(ServerSocket server) throws IOException {
        for (int i = 0; i < 4; i++) {
            Socket socket = new Socket();
            openSockets.add(socket);
            try {
                socket.connect(server.getLocalSocketAddress(), 100);
            } catch (IOException e) {
                // The queue is full.
                return;
            }
        }
    }

    @Nested
    class CallsWithoutResponse {
        /**
         * Guards against incident 24: a call to a machine that no longer existed counted as sent.
         */
        @Test
        void areReportedAsNotSentIfTheConnectionWasNotOpened() throws IOException {
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                fillAcceptQueue(server);

                assertThat(failure(server.getLocalPort())).isInstanceOf(ConnectException.class);
            }
        }

        @Test
        void areReportedAsNotSentIfTheConnectionWasRefused() throws IOException {
            int port;
            try (ServerSocket server = new ServerSocket(0)) {
                port = server.getLocalPort();
            }

            assertThat(failure(port)).isInstanceOf(ConnectException.class);
        }

        @Test
        void areReportedAsPossiblyReceivedOnceAConnectionWasOpened() throws IOException {
            try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
                assertThat(failure(server.getLocalPort()))
                        .isInstanceOf(IOException.class)
                        .isNotInstanceOf(ConnectException.class);
            }
        }
    }
}
