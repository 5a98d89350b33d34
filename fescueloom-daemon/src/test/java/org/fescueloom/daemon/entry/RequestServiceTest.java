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
    private RequestTestBed testBed;
    private RequestTestBed.Entry entry;

    @BeforeEach
    void startEntry() {
        testBed = new RequestTestBed();
        entry = testBed.startEntry("entry-1");
    }

    @AfterEach
    void close() {
        testBed.close();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static FailureType failureTypeOf(HttpResponse<byte[]> response) {
        return Json.read(response.body(), FailureBody.class).error();
    }

    @Nested
    class CompleteResponse {
        @Test
        void isReturnedToTheCaller() {
            testBed.startAgent("a", 2);
            HttpResponse<byte[]> response =
                    testBed.sendRequest(entry, bytes("grate"), Headers.REQUEST_ID, "r1").join();
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).asString().isEqualTo("echo:grate");
            assertThat(response.headers().firstValue(Headers.REQUEST_ID)).contains("r1");
            assertThat(response.headers().firstValue(Headers.ATTEMPTS)).contains("1");
            assertThat(response.headers().firstValue(Headers.SERVED_BY)).contains("up-a");
        }

        @Test
        void hasTheBodyOfTheCallersOwnRequest() {
            testBed.startAgent("a", 8);
            testBed.startAgent("b", 8);
            RequestTestBed.Entry otherEntry = testBed.startEntry("entry-2");
            Random random = new Random(7);
            List<byte[]> bodies = new ArrayList<>();
            List<CompletableFuture<HttpResponse<byte[]>>> responses = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                byte[] body = new byte[i % 10 == 0 ? 1 << 18 : random.nextInt(2_000)];
                random.nextBytes(body);
                bodies.add(body);
                responses.add(testBed.sendRequest(i % 2 == 0 ? entry : otherEntry, body));
            }
            for (int i = 0; i < responses.size(); i++) {
                // The response body is the request body after the 5 bytes of "echo:".
                byte[] responseBody = responses.get(i).join().body();
                assertThat(Arrays.copyOfRange(responseBody, 5, responseBody.length))
                        .isEqualTo(bodies.get(i));
            }
        }

        @Test
        void isRejectedIfItBelongsToAnotherAttempt() {
            testBed.startAgent("a", 2).upstream.echoedAttemptId = "someone-else.1.1";
            HttpResponse<byte[]> response = testBed.sendRequest(entry, bytes("x")).join();
            assertThat(response.statusCode()).isEqualTo(502);
            assertThat(failureTypeOf(response)).isEqualTo(FailureType.UPSTREAM_INVALID_ANSWER);
        }
    }

    @Nested
    class InvalidRequest {
        @Test
        void isRefusedWithAFailureTypeAndDoesNotRun() {
            RequestTestBed.AgentNode node = testBed.startAgent("a", 2);
            byte[] emptyBody = new byte[0];
            assertThat(
                            failureTypeOf(
                                    testBed.sendRequest(
                                                    entry, emptyBody, Headers.IDEMPOTENT, "maybe")
                                            .join()))
                    .isEqualTo(FailureType.MALFORMED_INPUT);
            assertThat(
                            failureTypeOf(
                                    testBed.sendRequest(
                                                    entry, emptyBody, Headers.DEADLINE_MILLIS, "-5")
                                            .join()))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(
                            failureTypeOf(
                                    testBed.sendRequest(
                                                    entry,
                                                    emptyBody,
                                                    Headers.DEADLINE_MILLIS,
                                                    "soon")
                                            .join()))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(
                            failureTypeOf(
                                    testBed.sendRequest(entry, emptyBody, Headers.REQUEST_ID, "a b")
                                            .join()))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(failureTypeOf(testBed.sendRequest(entry, new byte[(1 << 20) + 1]).join()))
                    .isEqualTo(FailureType.BODY_TOO_LARGE);
            assertThat(node.upstream.runsByRequest).isEmpty();
        }
    }

    @Nested
    class UnusableUpstream {
        @Test
        void refusesTheRequestWithARetryTimeIfThereIsNoUpstream() {
            HttpResponse<byte[]> response = testBed.sendRequest(entry, bytes("x")).join();
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(failureTypeOf(response)).isEqualTo(FailureType.NO_UPSTREAM);
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
        }

        @Test
        void retriesAnIdempotentRequestAtAnotherUpstream() {
            testBed.startAgent("a", 2).upstream.responseStatus = 500;
            testBed.startAgent("b", 2);
            for (int i = 0; i < 5; i++) {
                HttpResponse<byte[]> response =
                        testBed.sendRequest(entry, bytes("x"), Headers.IDEMPOTENT, "true").join();
                assertThat(response.statusCode()).isEqualTo(200);
                assertThat(response.headers().firstValue(Headers.SERVED_BY)).contains("up-b");
            }
        }
    }
}
