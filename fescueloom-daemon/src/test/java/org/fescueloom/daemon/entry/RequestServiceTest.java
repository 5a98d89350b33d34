package org.fescueloom.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.json.Json;
import org.fescueloom.wire.Headers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestServiceTest {
    private RequestTestBed bed;
    private RequestTestBed.Entry entry;

    @BeforeEach
    void open() {
        bed = new RequestTestBed();
        entry = bed.startEntry("entry-1");
    }

    @AfterEach
    void close() {
        bed.close();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static FailureType failureTypeOf(HttpResponse<byte[]> answer) {
        return Json.read(answer.body(), FailureBody.class).error();
    }

    @Nested
    class WholeAnswer {
        @Test
        void handsOnTheAnswerOfTheUpstream() {
            bed.startAgent("a", 2);
            HttpResponse<byte[]> answer =
                    bed.sendRequest(entry, bytes("grate"), Headers.REQUEST_ID, "r1").join();
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).asString().isEqualTo("echo:grate");
            assertThat(answer.headers().firstValue(Headers.REQUEST_ID)).contains("r1");
            assertThat(answer.headers().firstValue(Headers.ATTEMPTS)).contains("1");
            assertThat(answer.headers().firstValue(Headers.SERVED_BY)).contains("up-a");
        }

        @Test
        void givesEachCallerItsOwnBytes() {
            bed.startAgent("a", 8);
            bed.startAgent("b", 8);
            RequestTestBed.Entry second = bed.startEntry("entry-2");
            Random random = new Random(7);
            List<byte[]> bodies = new ArrayList<>();
            List<CompletableFuture<HttpResponse<byte[]>>> answers = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                byte[] body = new byte[i % 10 == 0 ? 1 << 18 : random.nextInt(2_000)];
                random.nextBytes(body);
                bodies.add(body);
                answers.add(bed.sendRequest(i % 2 == 0 ? entry : second, body));
            }
            for (int i = 0; i < answers.size(); i++) {
                byte[] got = answers.get(i).join().body();
                assertThat(Arrays.copyOfRange(got, 5, got.length)).isEqualTo(bodies.get(i));
            }
        }

        @Test
        void refusesAnAnswerToAnotherAttempt() {
            bed.startAgent("a", 2).upstream.echoedAttemptId = "someone-else.1.1";
            HttpResponse<byte[]> answer = bed.sendRequest(entry, bytes("x")).join();
            assertThat(answer.statusCode()).isEqualTo(502);
            assertThat(failureTypeOf(answer)).isEqualTo(FailureType.UPSTREAM_INVALID_ANSWER);
        }
    }

    @Nested
    class BadInput {
        @Test
        void isRefusedWithATypeAndRunsNowhere() {
            RequestTestBed.AgentNode node = bed.startAgent("a", 2);
            byte[] none = new byte[0];
            assertThat(
                            failureTypeOf(
                                    bed.sendRequest(entry, none, Headers.IDEMPOTENT, "maybe")
                                            .join()))
                    .isEqualTo(FailureType.MALFORMED_INPUT);
            assertThat(
                            failureTypeOf(
                                    bed.sendRequest(entry, none, Headers.DEADLINE_MILLIS, "-5")
                                            .join()))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(
                            failureTypeOf(
                                    bed.sendRequest(entry, none, Headers.DEADLINE_MILLIS, "soon")
                                            .join()))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(
                            failureTypeOf(
                                    bed.sendRequest(entry, none, Headers.REQUEST_ID, "a b").join()))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(failureTypeOf(bed.sendRequest(entry, new byte[(1 << 20) + 1]).join()))
                    .isEqualTo(FailureType.BODY_TOO_LARGE);
            assertThat(node.upstream.runsByRequest).isEmpty();
        }
    }

    @Nested
    class Refusals {
        @Test
        void comeAtOnceWithRetryAfterWhenNoUpstreamIsThere() {
            HttpResponse<byte[]> answer = bed.sendRequest(entry, bytes("x")).join();
            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(failureTypeOf(answer)).isEqualTo(FailureType.NO_UPSTREAM);
            assertThat(answer.headers().firstValue("Retry-After")).isPresent();
        }

        @Test
        void retryAnIdempotentRequestThatFailed() {
            bed.startAgent("a", 2).upstream.responseStatus = 500;
            bed.startAgent("b", 2);
            for (int i = 0; i < 5; i++) {
                HttpResponse<byte[]> answer =
                        bed.sendRequest(entry, bytes("x"), Headers.IDEMPOTENT, "true").join();
                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(answer.headers().firstValue(Headers.SERVED_BY)).contains("up-b");
            }
        }
    }
}
