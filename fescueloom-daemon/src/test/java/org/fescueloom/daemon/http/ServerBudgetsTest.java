package org.fescueloom.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ServerBudgetsTest {
    private static final int MAX_BODY_BYTES = 10_000;
    private static final int CONNECTIONS = 4;
    private static final int PIPELINED_REQUESTS = 16;
    private static final int JSON_VALUES = 100;
    private static final Duration WAIT = Duration.ofMillis(200);

    private final Map<String, Integer> counters = new ConcurrentHashMap<>();
    private final ServerBudgets budgets =
            new ServerBudgets(
                    new ServerLimits(
                            CONNECTIONS,
                            1 << 20,
                            Duration.ofSeconds(20),
                            Duration.ofSeconds(20),
                            Duration.ofSeconds(60),
                            20_000,
                            MAX_BODY_BYTES,
                            PIPELINED_REQUESTS,
                            JSON_VALUES,
                            1_024,
                            WAIT),
                    name -> counters.merge(name, 1, Integer::sum));
    private final CompletableFuture<HttpServerResponse> held = new CompletableFuture<>();
    private final HttpServer server = new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES, budgets, 0.5);
    private final HttpServer otherServer =
            new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES, budgets, 0.25);

    @BeforeEach
    void start() {
        for (HttpServer each : new HttpServer[] {server, otherServer}) {
            each.route("POST", "/size", call -> answer(call.jsonBody().length));
            each.route("GET", "/held", call -> held);
            each.start();
        }
    }

    @AfterEach
    void close() {
        server.close();
        otherServer.close();
    }

    private static CompletableFuture<HttpServerResponse> answer(int bytes) {
        return CompletableFuture.completedFuture(HttpServerResponse.json(Map.of("size", bytes)));
    }

    private static Socket connect(HttpServer server) throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static String post(String body) {
        return postHead(body.length()) + body;
    }

    private static String postHead(int bytes) {
        return "POST /size HTTP/1.1\r\nHost: x\r\nContent-Length: " + bytes + "\r\n\r\n";
    }

    /** Reads until a response ends with a brace; returns what arrived if the connection ends. */
    private static String read(Socket socket, int responses) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        int left = responses;
        while (left > 0) {
            int c;
            try {
                c = in.read();
            } catch (SocketException e) {
                c = -1; // A reset connection is closed, too.
            }
            if (c < 0) {
                break;
            }
            text.append((char) c);
            left -= c == '}' ? 1 : 0;
        }
        return text.toString();
    }

    /** Waits until one of several connections is closed; which one depends on their order. */
    private static void awaitOneClosed(Socket... sockets) throws Exception {
        for (Socket socket : sockets) {
            socket.setSoTimeout(1);
        }
        boolean closed = false;
        while (!closed) {
            Thread.sleep(10);
            for (Socket socket : sockets) {
                closed = closed || isClosed(socket);
            }
        }
    }

    private static boolean isClosed(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    @Nested
    class PipelinedRequests {
        private static final String HELD = "GET /held HTTP/1.1\r\nHost: x\r\n\r\n";

        @Test
        void areServedUpToTheLimit() throws IOException {
            try (Socket socket = connect(server)) {
                send(socket, HELD.repeat(PIPELINED_REQUESTS + 1));
                held.complete(HttpServerResponse.json(Map.of()));
                assertThat(read(socket, PIPELINED_REQUESTS + 1)).contains("200").endsWith("}");
            }
        }

        /** Guards against a connection that collects requests while the first one is handled. */
        @Test
        void beyondTheLimitCloseTheConnection() throws IOException {
            try (Socket socket = connect(server)) {
                send(socket, HELD.repeat(PIPELINED_REQUESTS + 2));
                assertThat(read(socket, 1)).isEmpty();
            }
            assertThat(counters).containsKey("limits.pipelined-requests");
        }
    }

    @Nested
    class Connections {
        /** Guards against a load on one server that locks out another server. */
        @Test
        void areReservedForEachServer() throws IOException {
            Socket[] sockets = new Socket[CONNECTIONS];
            for (int i = 0; i < sockets.length; i++) {
                sockets[i] = connect(server);
            }
            try (Socket socket = connect(otherServer)) {
                send(socket, post("[]"));
                assertThat(read(socket, 1)).contains("200");
            }
            for (Socket socket : sockets) {
                socket.close();
            }
        }

        /** Guards against clients that stop half-way and keep out all others. */
        @Test
        void thatWaitForTheirClientAreClosedInFavourOfNewOnes() throws Exception {
            Socket[] sockets = new Socket[CONNECTIONS - 1];
            for (int i = 0; i < sockets.length; i++) {
                sockets[i] = connect(server);
                send(sockets[i], "GET /held HTTP/1.1\r\n");
            }
            Thread.sleep(3 * WAIT.toMillis());
            try (Socket socket = connect(server)) {
                send(socket, post("[]"));
                assertThat(read(socket, 1)).contains("200");
            }
            assertThat(counters).containsKey("limits.connections");
            awaitOneClosed(sockets);
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Nested
    class Bodies {
        /** Guards against incomplete bodies that use up the budget until they time out. */
        @Test
        void areAcceptedSoonAlthoughAnotherOneIsIncomplete() throws Exception {
            try (Socket incomplete = connect(server)) {
                send(incomplete, postHead(MAX_BODY_BYTES * 3 / 4) + "[");
                Thread.sleep(3 * WAIT.toMillis());
                String response = "";
                while (!response.contains(" 200 ")) {
                    try (Socket socket = connect(server)) {
                        send(socket, post("[" + " ".repeat(MAX_BODY_BYTES / 2) + "]"));
                        response = read(socket, 1);
                        assertThat(response).containsAnyOf(" 200 ", "not-run");
                    }
                }
                assertThat(read(incomplete, 1)).isEmpty();
            }
            assertThat(counters).containsKey("limits.body-bytes");
        }

        /** Guards against trees of JSON values that exceed the memory. */
        @Test
        void withTooManyJsonValuesAreRefused() throws IOException {
            try (Socket socket = connect(server)) {
                send(socket, post("[" + "0,".repeat(JSON_VALUES - 2) + "0]"));
                assertThat(read(socket, 1)).contains(" 200 ");
                send(socket, post("[" + "0,".repeat(JSON_VALUES - 1) + "0]"));
                assertThat(read(socket, 1)).contains(" 413 ").contains("not-run");
            }
            assertThat(counters).containsEntry("limits.json-values", 1);
        }
    }

    @Nested
    class Heads {
        /** Guards against heads that stop half-way and use up the memory together. */
        @Test
        void beyondTheBudgetCloseAConnection() throws Exception {
            String head = "GET /held HTTP/1.1\r\n" + ("A: " + "a".repeat(3_000) + "\r\n").repeat(4);
            try (Socket first = connect(server);
                    Socket second = connect(server)) {
                send(first, head);
                send(second, head);
                while (!counters.containsKey("limits.head-bytes")) {
                    Thread.sleep(10);
                }
                awaitOneClosed(first, second);
            }
        }
    }
}
