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

/** Tests requests during faults, with entries, agents and upstreams in this process. */
@Timeout(60)
class RequestFaultsTest {
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

    private CompletableFuture<HttpResponse<byte[]>> send(
            RequestTestBed.Entry throughEntry, String id, boolean idempotent) {
        return testBed.sendRequest(
                throughEntry,
                id.getBytes(StandardCharsets.UTF_8),
                Headers.REQUEST_ID,
                id,
                Headers.IDEMPOTENT,
                Boolean.toString(idempotent));
    }

    private static void assertEchoed(HttpResponse<byte[]> response, String id) {
        assertThat(response.statusCode()).as(new String(response.body())).isEqualTo(200);
        assertThat(response.body()).asString().isEqualTo("echo:" + id);
    }

    private static HttpResponse<byte[]> joinWithinTarget(
            CompletableFuture<HttpResponse<byte[]>> response) {
        return response.orTimeout(RequestTestBed.TARGET_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    private int countRuns(String id) {
        return testBed.agentNodes.stream().mapToInt(node -> node.upstream.runCount(id)).sum();
    }

    private static void await(BooleanSupplier condition) throws Exception {
        long timeoutAtNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime())
                    .as("time limit of 20 s for the condition")
                    .isLessThan(timeoutAtNanos);
            Thread.sleep(5);
        }
    }

    /** A relay keeps the connections to the agent open and drops all later data. */
    @Nested
    class SilentConnection {
        @Test
        void deliversTheResponseWithoutASecondRun() throws Exception {
            RequestTestBed.AgentNode node = testBed.startAgent("a", 4);
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
                    CompletableFuture<HttpResponse<byte[]>> response = send(entry, id, idempotent);
                    await(() -> countRuns(id) == 1);
                    relay.silence();
                    assertEchoed(joinWithinTarget(response), id);
                    assertThat(countRuns(id)).isEqualTo(1);
                }
            }
        }
    }

    @Nested
    class RepeatedRequest {
        private RequestTestBed.Entry otherEntry;

        @BeforeEach
        void startOtherEntryAndAgents() {
            otherEntry = testBed.startEntry("entry-2");
            for (String name : List.of("a", "b", "c")) {
                testBed.startAgent(name, 4).upstream.responseDelayMillis = 300;
            }
        }

        @Test
        void joinsTheFirstRunThroughAnotherEntry() throws Exception {
            CompletableFuture<HttpResponse<byte[]>> first = send(entry, "r", false);
            await(() -> countRuns("r") == 1);
            assertEchoed(send(otherEntry, "r", false).join(), "r");
            assertEchoed(first.join(), "r");
            assertEchoed(send(otherEntry, "r", false).join(), "r");
            assertThat(countRuns("r")).isEqualTo(1);
        }

        @Test
        void runsAtMostOnceIfSentAtTheSameTime() {
            List<CompletableFuture<HttpResponse<byte[]>>> responses = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                responses.add(send(entry, "same-" + i, false));
                responses.add(send(otherEntry, "same-" + i, false));
            }
            for (int i = 0; i < 20; i++) {
                assertThat(responses.get(2 * i).join().statusCode()).isIn(200, 503, 504);
                assertThat(responses.get(2 * i + 1).join().statusCode()).isIn(200, 503, 504);
                assertThat(countRuns("same-" + i)).isLessThanOrEqualTo(1);
            }
        }

        @Test
        void isRefusedWithAnotherBody() {
            assertEchoed(send(entry, "r", false).join(), "r");
            for (RequestTestBed.Entry repeatedAt : List.of(entry, otherEntry)) {
                HttpResponse<byte[]> refusal =
                        testBed.sendRequest(repeatedAt, new byte[] {1}, Headers.REQUEST_ID, "r")
                                .join();
                assertThat(refusal.statusCode()).isEqualTo(409);
                assertThat(Json.read(refusal.body(), FailureBody.class).error())
                        .isEqualTo(FailureType.IDENTIFIER_REUSED);
            }
            assertThat(countRuns("r")).isEqualTo(1);
        }
    }

    @Nested
    class LeavingUpstream {
        @Test
        void getsNoNewRequestsAlthoughItsAnnouncementIsLost() {
            RequestTestBed.AgentNode leaving = testBed.startAgent("a", 8);
            testBed.startAgent("b", 8);
            leaving.announcedAsStaying = true;
            testBed.register(leaving, 8, true);
            int requestsBefore = leaving.upstream.runsByRequest.size();
            for (int i = 0; i < 50; i++) {
                HttpResponse<byte[]> response = send(entry, "l" + i, false).join();
                assertEchoed(response, "l" + i);
            }
            assertThat(leaving.upstream.runsByRequest).hasSize(requestsBefore);
        }
    }

    @Nested
    class Overload {
        @Test
        void refusesRequestsThatThenNeverRun() {
            RequestTestBed.AgentNode node = testBed.startAgent("a", 2);
            node.upstream.responseDelayMillis = 100;
            for (int i = 0; i < 5; i++) {
                send(entry, "warm" + i, true).join();
            }
            List<CompletableFuture<HttpResponse<byte[]>>> responses = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                responses.add(
                        testBed.sendRequest(
                                entry,
                                new byte[10],
                                Headers.REQUEST_ID,
                                "o" + i,
                                Headers.DEADLINE_MILLIS,
                                "1000"));
            }
            int refused = 0;
            for (int i = 0; i < responses.size(); i++) {
                HttpResponse<byte[]> response = responses.get(i).join();
                if (response.statusCode() != 200) {
                    refused++;
                    assertThat(response.statusCode()).isIn(429, 503);
                    assertThat(response.headers().firstValue("Retry-After")).isPresent();
                    assertThat(countRuns("o" + i)).isZero();
                }
            }
            assertThat(refused).isBetween(300, 395);
        }
    }

    @Nested
    class CallerDisconnect {
        @Test
        void removesTheQueuedAttempts() throws Exception {
            RequestTestBed.AgentNode node = testBed.startAgent("a", 1);
            node.upstream.responseDelayMillis = 20_000;
            List<CompletableFuture<HttpResponse<byte[]>>> responses = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                responses.add(
                        testBed.sendRequest(entry, new byte[] {1}, Headers.REQUEST_ID, "c" + i));
            }
            await(() -> node.service.status().queued() == 5);
            responses.forEach(response -> response.cancel(true));
            await(() -> node.service.status().queued() == 0);
            assertThat(node.upstream.runsByRequest).hasSize(1);
        }
    }
}
