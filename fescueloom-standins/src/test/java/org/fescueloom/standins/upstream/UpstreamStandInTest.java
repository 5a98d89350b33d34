package org.fescueloom.standins.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
import org.junit.jupiter.api.Timeout;
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

    private TestHttp.TestResponse sendRequest(String id, byte[] body) throws IOException {
        Headers headers = Headers.of("Request-Id", id, "Attempt-Id", id + ".1");
        return TestHttp.send("POST", upstream.address(), "/v1/classes/c/requests", body, headers);
    }

    private CompletableFuture<Integer> sendForStatus(String id) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return sendRequest(id, new byte[1]).status();
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                },
                r -> new Thread(r).start());
    }

    @Nested
    class Responses {
        @Test
        void echoTheWholeBodyAndTheAttempt() throws IOException {
            for (int size : new int[] {0, 1, 100_000, 1 << 20}) {
                byte[] body = new byte[size];
                new java.util.Random(size).nextBytes(body);
                TestHttp.TestResponse response = sendRequest("r" + size, body);
                assertThat(response.status()).isEqualTo(200);
                assertThat(response.body()).isEqualTo(body);
                assertThat(response.headers().get("Attempt-Id")).isEqualTo("r" + size + ".1");
            }
            assertThat(upstream.records().runs())
                    .extracting(UpstreamRun::requestId)
                    .containsExactly("r0", "r1", "r100000", "r1048576");
            assertThat(upstream.records().runs()).allMatch(r -> r.endMillis() >= r.startMillis());
        }

        @Test
        @Timeout(60)
        void refuseAndRecordRequestsBeyondTheSlots() throws InterruptedException {
            upstream.speed(0.01);
            List<CompletableFuture<Integer>> statuses = new ArrayList<>();
            for (int i = 0; i < UpstreamProfile.DEFAULT_SLOTS; i++) {
                statuses.add(sendForStatus("r" + i));
            }
            // The requests beyond the slots are sent once all slots are taken.
            while (upstream.records().runs().size() < UpstreamProfile.DEFAULT_SLOTS) {
                Thread.sleep(10);
            }
            assertThat(sendForStatus("late1").join()).isEqualTo(503);
            assertThat(sendForStatus("late2").join()).isEqualTo(503);
            assertThat(upstream.records().violations()).hasSize(2);
            assertThat(statuses).allMatch(status -> status.join().equals(200));
        }
    }

    @Nested
    class ConfiguredFaults {
        private static final byte[] BODY = "answer".getBytes(StandardCharsets.UTF_8);

        @ParameterizedTest
        @EnumSource(
                value = FaultKind.class,
                names = {"CUT_SHORT", "NONSENSE", "LOSE_ANSWER"})
        void breakTheResponseAfterTheRun(FaultKind kind) {
            upstream.faults(Faults.of(Fault.always(kind)));
            assertThatThrownBy(() -> sendRequest("r", BODY)).isInstanceOf(IOException.class);
            assertThat(upstream.records().runs()).hasSize(1);
        }

        @Test
        void failAtOnceAndRecordTheRun() throws IOException {
            upstream.faults(Faults.of(Fault.always(FaultKind.FAIL_FAST)));
            assertThat(sendRequest("r", BODY).status()).isEqualTo(500);
            assertThat(upstream.records().runs()).hasSize(1);
        }

        @Test
        void sendTheResponseOfAnEarlierAttempt() throws IOException {
            sendRequest("first", BODY);
            upstream.faults(Faults.of(Fault.always(FaultKind.FOREIGN_ANSWER)));
            assertThat(sendRequest("second", BODY).headers().get("Attempt-Id"))
                    .isEqualTo("first.1");
        }

        @Test
        void sendTheResponseTwiceOnOneConnection() throws IOException {
            upstream.faults(Faults.of(Fault.always(FaultKind.DOUBLE_ANSWER).withTimes(1)));
            assertThat(sendRequest("r", BODY).body()).isEqualTo(BODY);
        }
    }

    @Nested
    class Leaving {
        @Test
        void waitsForRunsInProgress() throws Exception {
            upstream.speed(0.1);
            CompletableFuture<Integer> runningStatus = sendForStatus("r");
            while (upstream.records().runs().isEmpty()) {
                Thread.sleep(5L);
            }
            assertThat(upstream.leave(Duration.ofSeconds(20L))).isTrue();
            assertThat(runningStatus.join()).isEqualTo(200);
        }
    }
}
