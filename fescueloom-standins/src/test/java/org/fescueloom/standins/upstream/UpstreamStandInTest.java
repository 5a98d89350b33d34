package org.fescueloom.standins.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import okhttp3.Headers;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.TestHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class UpstreamStandInTest {
    private final UpstreamStandIn upstream =
            new UpstreamStandIn(ListenAddress.ANY, UpstreamProfile.of("u1", 50.0, null));

    @BeforeEach
    void start() {
        upstream.start();
    }

    @AfterEach
    void close() {
        upstream.close();
    }

    private TestHttp.TestResponse request(String id, byte[] body) throws IOException {
        Headers headers = Headers.of("Request-Id", id, "Attempt-Id", id + ".1");
        return TestHttp.send("POST", upstream.address(), "/v1/classes/c/requests", body, headers);
    }

    private CompletableFuture<Integer> statusOf(String id) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return request(id, new byte[1]).status();
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                },
                r -> new Thread(r).start());
    }

    @Nested
    class Answers {
        @Test
        void echoTheWholeBodyAndTheAttempt() throws IOException {
            for (int size : new int[] {0, 1, 100_000, 1 << 20}) {
                byte[] body = new byte[size];
                new java.util.Random(size).nextBytes(body);
                TestHttp.TestResponse answer = request("r" + size, body);
                assertThat(answer.status()).isEqualTo(200);
                assertThat(answer.body()).isEqualTo(body);
                assertThat(answer.headers().get("Attempt-Id")).isEqualTo("r" + size + ".1");
            }
            assertThat(upstream.records().runs())
                    .extracting(UpstreamRun::requestId)
                    .containsExactly("r0", "r1", "r100000", "r1048576");
            assertThat(upstream.records().runs()).allMatch(r -> r.endMillis() >= r.startMillis());
        }

        @Test
        void refuseAndRecordMoreRunsThanSlots() {
            upstream.speed(0.1);
            int calls = UpstreamProfile.DEFAULT_SLOTS + 2;
            CompletableFuture<?>[] all = new CompletableFuture<?>[calls];
            for (int i = 0; i < calls; i++) {
                all[i] = statusOf("r" + i);
            }
            CompletableFuture.allOf(all).join();
            assertThat(all).filteredOn(f -> f.join().equals(503)).hasSize(2);
            assertThat(upstream.records().violations()).hasSize(2);
        }
    }

    @Nested
    class ShownFaults {
        private static final byte[] BODY = "answer".getBytes(StandardCharsets.UTF_8);

        @ParameterizedTest
        @EnumSource(
                value = FaultKind.class,
                names = {"CUT_SHORT", "NONSENSE", "LOSE_ANSWER"})
        void breakTheAnswerAfterTheRun(FaultKind kind) {
            upstream.faults(Faults.of(Fault.always(kind)));
            assertThatThrownBy(() -> request("r", BODY)).isInstanceOf(IOException.class);
            assertThat(upstream.records().runs()).hasSize(1);
        }

        @Test
        void failFastAndCountTheRun() throws IOException {
            upstream.faults(Faults.of(Fault.always(FaultKind.FAIL_FAST)));
            assertThat(request("r", BODY).status()).isEqualTo(500);
            assertThat(upstream.records().runs()).hasSize(1);
        }

        @Test
        void answerWithAnEarlierAttempt() throws IOException {
            request("first", BODY);
            upstream.faults(Faults.of(Fault.always(FaultKind.FOREIGN_ANSWER)));
            assertThat(request("second", BODY).headers().get("Attempt-Id")).isEqualTo("first.1");
        }

        @Test
        void answerTwiceOnOneConnection() throws IOException {
            upstream.faults(Faults.of(Fault.always(FaultKind.DOUBLE_ANSWER).withTimes(1)));
            assertThat(request("r", BODY).body()).isEqualTo(BODY);
        }
    }

    @Nested
    class Leaving {
        @Test
        void waitsForWhatRuns() throws Exception {
            upstream.speed(0.1);
            CompletableFuture<Integer> running = statusOf("r");
            while (upstream.records().runs().isEmpty()) {
                Thread.sleep(5L);
            }
            assertThat(upstream.leave(Duration.ofSeconds(20L))).isTrue();
            assertThat(running.join()).isEqualTo(200);
        }
    }
}
