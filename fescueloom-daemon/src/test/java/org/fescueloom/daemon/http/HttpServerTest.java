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
    private static final int MAX_BODY = 2 << 20;
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private final HttpServer server = new HttpServer("127.0.0.1", 0, MAX_BODY);
    private final HttpClient client = new HttpClient(64, PATIENCE);
    private final List<CompletableFuture<HttpReply>> waiting = new ArrayList<>();

    @BeforeEach
    void start() {
        server.route("POST", "/wait", call -> waitingReply());
        server.route("POST", "/wake", call -> wake());
        server.route("POST", "/echo", HttpServerTest::echo);
        server.route("POST", "/later", HttpServerTest::later);
        server.start();
    }

    @AfterEach
    void close() {
        client.close();
        server.close();
    }

    private synchronized CompletableFuture<HttpReply> waitingReply() {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        waiting.add(reply);
        return reply;
    }

    private synchronized int waitingCount() {
        return waiting.size();
    }

    private synchronized CompletableFuture<HttpReply> wake() {
        waiting.forEach(w -> w.complete(HttpReply.json(Map.of("woken", true))));
        return CompletableFuture.completedFuture(HttpReply.json(Map.of()));
    }

    private static CompletableFuture<HttpReply> echo(HttpCall call) {
        String type = call.header("Content-Type").orElse("none/none");
        return CompletableFuture.completedFuture(
                new HttpReply(HttpReply.OK, type, Map.of(), call.body()));
    }

    private static CompletableFuture<HttpReply> later(HttpCall call) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS)
                .execute(
                        () ->
                                reply.completeExceptionally(
                                        new SchedulerException(FailureType.NO_UPSTREAM, "none")));
        return reply;
    }

    private CompletableFuture<HttpAnswer> post(String path, byte[] body, String type) {
        Request request =
                new Request.Builder()
                        .url("http://127.0.0.1:" + server.port() + path)
                        .post(RequestBody.create(body, MediaType.get(type)))
                        .build();
        return client.send(request, PATIENCE);
    }

    @Nested
    class SocketThatListensAlready {
        @Test
        void servesTheCallersThatCameBeforeTheStart() throws Exception {
            ListeningSocket open = ListeningSocket.open("127.0.0.1:0");
            CompletableFuture<HttpAnswer> early = post(open.address(), "early");
            HttpServer later = new HttpServer(open, MAX_BODY);
            later.route("POST", "/echo", HttpServerTest::echo);
            assertThat(early).isNotDone();

            later.start();

            assertThat(early.join().body()).asString().isEqualTo("early");
            assertThat(later.port()).isEqualTo(open.port());
            assertThat(post(open.address(), "later").join().status()).isEqualTo(HttpReply.OK);
            later.close();
        }

        private CompletableFuture<HttpAnswer> post(String address, String text) {
            RequestBody body = RequestBody.create(text, MediaType.get("text/plain"));
            Request request =
                    new Request.Builder().url("http://" + address + "/echo").post(body).build();
            return client.send(request, PATIENCE);
        }
    }

    @Nested
    class Replies {
        @Test
        void thatComeLaterAreSentAsTheyAre() {
            HttpAnswer answer = post("/later", new byte[1], "a/b").join();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(new String(answer.body())).contains("no-upstream");
        }

        @Test
        void thatAnotherCallCompletesAreSentAtOnce() throws Exception {
            List<CompletableFuture<HttpAnswer>> answers = new ArrayList<>();
            int calls = 8;
            for (int i = 0; i < calls; i++) {
                answers.add(post("/wait", new byte[1], "a/b"));
            }
            long end = System.nanoTime() + PATIENCE.toNanos();
            while (waitingCount() < calls) {
                assertThat(answers).noneMatch(CompletableFuture::isDone);
                assertThat(System.nanoTime()).isLessThan(end);
                Thread.sleep(5);
            }
            post("/wake", new byte[1], "a/b").join();
            for (CompletableFuture<HttpAnswer> answer : answers) {
                assertThat(new String(answer.get(5, TimeUnit.SECONDS).body())).contains("woken");
            }
        }
    }

    @Nested
    class Bodies {
        @Test
        void arriveWholeWhateverTheirContentType() {
            byte[] body = new byte[1 << 20];
            new Random(1).nextBytes(body);
            for (String type :
                    new String[] {
                        "application/octet-stream",
                        "application/x-www-form-urlencoded",
                        "multipart/form-data; boundary=x"
                    }) {
                HttpAnswer answer = post("/echo", body, type).join();
                assertThat(answer.status()).as(type).isEqualTo(200);
                assertThat(answer.body()).as(type).isEqualTo(body);
                assertThat(answer.header("Content-Type")).as(type).contains(type);
            }
        }

        @Test
        void overTheLimitAreRefused() {
            HttpAnswer answer = post("/echo", new byte[MAX_BODY + 1], "a/b").join();
            assertThat(answer.status()).isEqualTo(413);
            assertThat(new String(answer.body())).contains("body-too-large");
        }
    }
}
