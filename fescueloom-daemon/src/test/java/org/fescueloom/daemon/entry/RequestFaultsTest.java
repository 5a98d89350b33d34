package org.fescueloom.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.json.Json;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.harness.SilentRelay;
import org.fescueloom.wire.Headers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class RequestFaultsTest {
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

    private CompletableFuture<HttpResponse<byte[]>> send(
            RequestTestBed.Entry throughEntry, String id, boolean idempotent) {
        return bed.sendRequest(
                throughEntry,
                id.getBytes(StandardCharsets.UTF_8),
                Headers.REQUEST_ID,
                id,
                Headers.IDEMPOTENT,
                Boolean.toString(idempotent));
    }

    private static void assertEchoed(HttpResponse<byte[]> answer, String id) {
        assertThat(answer.statusCode()).as(new String(answer.body())).isEqualTo(200);
        assertThat(answer.body()).asString().isEqualTo("echo:" + id);
    }

    private static HttpResponse<byte[]> joinWithinTarget(
            CompletableFuture<HttpResponse<byte[]>> answer) {
        return answer.orTimeout(RequestTestBed.TARGET_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    private int countRuns(String id) {
        return bed.agentNodes.stream().mapToInt(a -> a.upstream.runCount(id)).sum();
    }

    private static void await(BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("time").isLessThan(end);
            Thread.sleep(5);
        }
    }

    @Nested
    class SilentConnection {
        @Test
        void costsNoAnswerWhetherIdempotentOrNot() throws Exception {
            RequestTestBed.AgentNode node = bed.startAgent("a", 4);
            String[] address = node.address().split(":");
            try (SilentRelay relay =
                    new SilentRelay(new ListenAddress(address[0], Integer.parseInt(address[1])))) {
                node.announcedAddress = relay.address();
                assertEchoed(send(entry, "warm", false).join(), "warm");
                relay.silence();
                assertEchoed(joinWithinTarget(send(entry, "idle", false)), "idle");
                assertThat(countRuns("idle")).isEqualTo(1);
                node.upstream.responseDelayMillis = 600;
                for (boolean idempotent : new boolean[] {false, true}) {
                    String id = "silent-after-sending-" + idempotent;
                    CompletableFuture<HttpResponse<byte[]>> answer = send(entry, id, idempotent);
                    await(() -> countRuns(id) == 1);
                    relay.silence();
                    assertEchoed(joinWithinTarget(answer), id);
                    assertThat(countRuns(id)).isEqualTo(1);
                }
            }
        }
    }

    @Nested
    class CallersRepeat {
        private RequestTestBed.Entry second;

        @BeforeEach
        void open() {
            second = bed.startEntry("entry-2");
            for (String name : List.of("a", "b", "c")) {
                bed.startAgent(name, 4).upstream.responseDelayMillis = 300;
            }
        }

        @Test
        void throughAnotherEntryMeetsTheFirstRun() throws Exception {
            CompletableFuture<HttpResponse<byte[]>> first = send(entry, "r", false);
            await(() -> countRuns("r") == 1);
            assertEchoed(send(second, "r", false).join(), "r");
            assertEchoed(first.join(), "r");
            assertEchoed(send(second, "r", false).join(), "r");
            assertThat(countRuns("r")).isEqualTo(1);
        }

        @Test
        void atTheSameTimeRunsOnce() {
            List<CompletableFuture<HttpResponse<byte[]>>> answers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                answers.add(send(entry, "same-" + i, false));
                answers.add(send(second, "same-" + i, false));
            }
            for (int i = 0; i < 20; i++) {
                assertThat(answers.get(2 * i).join().statusCode()).isIn(200, 503, 504);
                assertThat(answers.get(2 * i + 1).join().statusCode()).isIn(200, 503, 504);
                assertThat(countRuns("same-" + i)).isLessThanOrEqualTo(1);
            }
        }

        @Test
        void withAnotherBodyIsRefused() {
            assertEchoed(send(entry, "r", false).join(), "r");
            for (RequestTestBed.Entry through : List.of(entry, second)) {
                HttpResponse<byte[]> other =
                        bed.sendRequest(through, new byte[] {1}, Headers.REQUEST_ID, "r").join();
                assertThat(other.statusCode()).isEqualTo(409);
                assertThat(Json.read(other.body(), FailureBody.class).error())
                        .isEqualTo(FailureType.IDENTIFIER_REUSED);
            }
            assertThat(countRuns("r")).isEqualTo(1);
        }
    }

    @Nested
    class LeavingUpstream {
        @Test
        void getsNothingNewThoughItsAnnouncementIsLost() {
            RequestTestBed.AgentNode leaving = bed.startAgent("a", 8);
            bed.startAgent("b", 8);
            leaving.announcedAsStaying = true;
            bed.register(leaving, 8, true);
            int before = leaving.upstream.runsByRequest.size();
            for (int i = 0; i < 50; i++) {
                HttpResponse<byte[]> answer = send(entry, "l" + i, false).join();
                assertEchoed(answer, "l" + i);
            }
            assertThat(leaving.upstream.runsByRequest).hasSize(before);
        }
    }

    @Nested
    class Overload {
        @Test
        void refusesAtOnceAndNeverRunsWhatItRefused() {
            RequestTestBed.AgentNode node = bed.startAgent("a", 2);
            node.upstream.responseDelayMillis = 100;
            for (int i = 0; i < 5; i++) {
                send(entry, "warm" + i, true).join();
            }
            List<CompletableFuture<HttpResponse<byte[]>>> answers = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                answers.add(
                        bed.sendRequest(
                                entry,
                                new byte[10],
                                Headers.REQUEST_ID,
                                "o" + i,
                                Headers.DEADLINE_MILLIS,
                                "1000"));
            }
            int refused = 0;
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<byte[]> answer = answers.get(i).join();
                if (answer.statusCode() != 200) {
                    refused++;
                    assertThat(answer.statusCode()).isIn(429, 503);
                    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
                    assertThat(countRuns("o" + i)).isZero();
                }
            }
            assertThat(refused).isBetween(300, 395);
        }
    }

    @Nested
    class CancelledCallers {
        @Test
        void loseTheirQueuedWork() throws Exception {
            RequestTestBed.AgentNode node = bed.startAgent("a", 1);
            node.upstream.responseDelayMillis = 20_000;
            List<CompletableFuture<HttpResponse<byte[]>>> answers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                answers.add(bed.sendRequest(entry, new byte[] {1}, Headers.REQUEST_ID, "c" + i));
            }
            await(() -> node.service.status().queued() == 5);
            answers.forEach(a -> a.cancel(true));
            await(() -> node.service.status().queued() == 0);
            assertThat(node.upstream.runsByRequest).hasSize(1);
        }
    }
}
