package org.fescueloom.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ConnectionGuardTest {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final ServerLimits LIMITS =
            new ServerLimits(
                    3,
                    2L << 20,
                    Duration.ofMillis(1_500),
                    Duration.ofMillis(1_500),
                    Duration.ofSeconds(60));

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final CountDownLatch disconnected = new CountDownLatch(1);
    private HttpServer server;

    @BeforeEach
    void open() {
        server = new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES, LIMITS);
        server.route("POST", "/echo/{millis}", this::echo);
        server.start();
    }

    @AfterEach
    void close() {
        server.close();
        timer.shutdownNow();
    }

    /** Responds with the body of the request, after the delay that the path contains. */
    private CompletableFuture<HttpServerResponse> echo(HttpCall call) {
        call.onDisconnect(disconnected::countDown);
        String contentType = call.header("Content-Type").orElse("none");
        HttpServerResponse response =
                new HttpServerResponse(
                        HttpServerResponse.OK,
                        "text/plain",
                        Map.of("Type", contentType),
                        call.body());
        CompletableFuture<HttpServerResponse> future = new CompletableFuture<>();
        long delayMillis = Long.parseLong(call.pathVariable("millis"));
        timer.schedule(() -> future.complete(response), delayMillis, TimeUnit.MILLISECONDS);
        return future;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    private static String post(int delayMillis, String contentType, String body) {
        return "POST /echo/"
                + delayMillis
                + " HTTP/1.1\r\nHost: x\r\nContent-Type: "
                + contentType
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            text.append((char) c);
            if (text.toString().endsWith(end)) {
                break;
            }
        }
        return text.toString();
    }

    @Nested
    class Responses {
        @Test
        void keepTheOrderOfPipelinedRequests() throws IOException {
            try (Socket socket = connect()) {
                send(socket, post(300, "text/plain", "first") + post(0, "text/plain", "second"));
                String text = readUntil(socket, "second");
                assertThat(text.indexOf("first")).isPositive().isLessThan(text.indexOf("second"));
            }
        }

        @Test
        void followAPipelinedRequestWhoseBodyArrivesLater() throws IOException {
            String second = post(0, "text/plain", "second");
            int split = second.length() - 3;
            try (Socket socket = connect()) {
                send(socket, post(300, "text/plain", "first") + second.substring(0, split));
                readUntil(socket, "first");
                send(socket, second.substring(split));
                assertThat(readUntil(socket, "second")).endsWith("second");
            }
        }

        @Test
        void carryFormBodiesUnchanged() throws IOException {
            String type = "application/x-www-form-urlencoded";
            try (Socket socket = connect()) {
                send(socket, post(0, type, "a=1&b=%20"));
                assertThat(readUntil(socket, "a=1&b=%20")).contains("a=1&b=%20").contains(type);
            }
        }
    }

    @Nested
    class Limits {
        @Test
        void closeConnectionsWithIncompleteRequests() throws IOException {
            try (Socket socket = connect()) {
                send(socket, "POST /echo/0 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }

        @Test
        void refuseHeadersThatAreTooLong() throws IOException {
            try (Socket socket = connect()) {
                send(socket, "POST /echo/0 HTTP/1.1\r\nLong: " + "x".repeat(20_000) + "\r\n\r\n");
                assertThat(readUntil(socket, "}")).contains("400").contains("malformed-input");
            }
        }

        @Test
        void refuseBodiesThatAreTooLong() throws IOException {
            try (Socket socket = connect()) {
                String head = "POST /echo/0 HTTP/1.1\r\nHost: x\r\nContent-Length: ";
                send(
                        socket,
                        head + 3 * MAX_BODY_BYTES + "\r\n\r\n" + "x".repeat(3 * MAX_BODY_BYTES));
                assertThat(readUntil(socket, "}")).contains("413").contains("not-run");
            }
        }

        @Test
        void closeConnectionsBeyondTheMaximum() throws IOException {
            Socket[] sockets = new Socket[4];
            for (int i = 0; i < 3; i++) {
                sockets[i] = connect();
                send(sockets[i], post(0, "text/plain", "here"));
                assertThat(readUntil(sockets[i], "here")).contains("200");
            }
            sockets[3] = connect();
            assertThat(sockets[3].getInputStream().read()).isEqualTo(-1);
            send(sockets[0], post(0, "text/plain", "still here"));
            assertThat(readUntil(sockets[0], "still here")).contains("200");
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Nested
    class Disconnect {
        @Test
        void isReportedWhileTheRequestIsInProgress() throws Exception {
            try (Socket socket = connect()) {
                send(socket, post(20_000, "text/plain", "bye"));
                assertThat(disconnected.await(200, TimeUnit.MILLISECONDS)).isFalse();
            }
            assertThat(disconnected.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }
}
