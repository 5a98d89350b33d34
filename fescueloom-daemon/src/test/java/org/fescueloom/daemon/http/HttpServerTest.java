package org.fescueloom.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpServerTest {
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private final HttpServer server = new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES);
    private final HttpClient client = new HttpClient(64, TIMEOUT);
    private final List<CompletableFuture<HttpServerResponse>> pendingResponses = new ArrayList<>();

    @BeforeEach
    void start() {
        server.route("POST", "/wait", call -> addPendingResponse());
        server.route("POST", "/wake", call -> completePending());
        server.route("POST", "/echo", HttpServerTest::echo);
        server.route("POST", "/later", HttpServerTest::failLater);
        server.start();
    }

    @AfterEach
    void close() {
        client.close();
        server.close();
    }

    private synchronized CompletableFuture<HttpServerResponse> addPendingResponse() {
        CompletableFuture<HttpServerResponse> future = new CompletableFuture<>();
        pendingResponses.add(future);
        return future;
    }

    private synchronized int pendingCount() {
        return pendingResponses.size();
    }

    private synchronized CompletableFuture<HttpServerResponse> completePending() {
        pendingResponses.forEach(
                response -> response.complete(HttpServerResponse.json(Map.of("woken", true))));
        return CompletableFuture.completedFuture(HttpServerResponse.json(Map.of()));
    }

    private static CompletableFuture<HttpServerResponse> echo(HttpCall call) {
        String contentType = call.header("Content-Type").orElse("none/none");
        return CompletableFuture.completedFuture(
                new HttpServerResponse(HttpServerResponse.OK, contentType, Map.of(), call.body()));
    }

    private static CompletableFuture<HttpServerResponse> failLater(HttpCall call) {
        CompletableFuture<HttpServerResponse> future = new CompletableFuture<>();
        CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS)
                .execute(
                        () ->
                                future.completeExceptionally(
                                        new SchedulerException(FailureType.NO_UPSTREAM, "none")));
        return future;
    }

    private CompletableFuture<HttpClientResponse> post(String path, byte[] body, String type) {
        Request request =
                new Request.Builder()
                        .url("http://127.0.0.1:" + server.port() + path)
                        .post(RequestBody.create(body, MediaType.get(type)))
                        .build();
        return client.send(request, TIMEOUT);
    }

    @Nested
    class SocketOpenedBeforeTheServer {
        @Test
        void servesConnectionsMadeBeforeTheServerStarted() throws Exception {
            ListeningSocket socket = ListeningSocket.open("127.0.0.1:0");
            CompletableFuture<HttpClientResponse> earlyResponse = post(socket.address(), "early");
            HttpServer lateServer = new HttpServer(socket, MAX_BODY_BYTES);
            lateServer.route("POST", "/echo", HttpServerTest::echo);
            assertThat(earlyResponse).isNotDone();

            lateServer.start();

            assertThat(earlyResponse.join().body()).asString().isEqualTo("early");
            assertThat(lateServer.port()).isEqualTo(socket.port());
            assertThat(post(socket.address(), "later").join().status())
                    .isEqualTo(HttpServerResponse.OK);
            lateServer.close();
        }

        private CompletableFuture<HttpClientResponse> post(String address, String text) {
            RequestBody body = RequestBody.create(text, MediaType.get("text/plain"));
            Request request =
                    new Request.Builder().url("http://" + address + "/echo").post(body).build();
            return client.send(request, TIMEOUT);
        }
    }

    @Nested
    class Responses {
        @Test
        void completedAsynchronouslyAreSent() {
            HttpClientResponse response = post("/later", new byte[1], "a/b").join();
            assertThat(response.status()).isEqualTo(503);
            assertThat(new String(response.body())).contains("no-upstream");
        }

        @Test
        void completedByAnotherRequestAreSentAtOnce() throws Exception {
            List<CompletableFuture<HttpClientResponse>> responses = new ArrayList<>();
            int requestCount = 8;
            for (int i = 0; i < requestCount; i++) {
                responses.add(post("/wait", new byte[1], "a/b"));
            }
            long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
            while (pendingCount() < requestCount) {
                assertThat(responses).noneMatch(CompletableFuture::isDone);
                assertThat(System.nanoTime()).isLessThan(deadlineNanos);
                Thread.sleep(5);
            }
            post("/wake", new byte[1], "a/b").join();
            for (CompletableFuture<HttpClientResponse> response : responses) {
                assertThat(new String(response.get(5, TimeUnit.SECONDS).body())).contains("woken");
            }
        }
    }

    @Nested
    class Bodies {
        @Test
        void areDeliveredUnchangedForAnyContentType() {
            byte[] body = new byte[1 << 20];
            new Random(1).nextBytes(body);
            for (String type :
                    new String[] {
                        "application/octet-stream",
                        "application/x-www-form-urlencoded",
                        "multipart/form-data; boundary=x"
                    }) {
                HttpClientResponse response = post("/echo", body, type).join();
                assertThat(response.status()).as(type).isEqualTo(200);
                assertThat(response.body()).as(type).isEqualTo(body);
                assertThat(response.header("Content-Type")).as(type).contains(type);
            }
        }

        @Test
        void overTheLimitAreRefused() {
            HttpClientResponse response = post("/echo", new byte[MAX_BODY_BYTES + 1], "a/b").join();
            assertThat(response.status()).isEqualTo(413);
            assertThat(new String(response.body())).contains("body-too-large");
        }
    }
}
