package org.fescueloom.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import okhttp3.RequestBody;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.harness.LocalDeployment;
import org.fescueloom.standins.harness.ManagedProcess;
import org.fescueloom.standins.upstream.UpstreamRun;
import org.fescueloom.wire.Headers;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestsEndToEndTest {
    private static final int UPSTREAM_COUNT = 3;
    private static final int CALLER_COUNT = 50;
    private static final int CALLS_PER_CALLER = 20;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long TARGET_MILLIS = 20_000L;
    private static final long MEMORY_TARGET_KIB = 128L * 1024L;
    private static LocalDeployment deployment;
    private static RequestCaller caller;

    @BeforeAll
    static void start() {
        deployment = TestDeployment.startWithEntries("requests", TARGET_MILLIS);
        TestDeployment.startUpstreams(deployment, UPSTREAM_COUNT, "--service-millis", "20");
        caller = new RequestCaller(deployment.entryAddresses());
    }

    @AfterAll
    static void close() {
        deployment.close();
        caller.close();
    }

    private static List<UpstreamRun> allRuns() {
        return IntStream.range(0, UPSTREAM_COUNT)
                .mapToObj(deployment::records)
                .flatMap(records -> records.runs().stream())
                .toList();
    }

    private static void assertNotRun(
            RequestCaller.EntryResponse response, int status, String failureType) {
        assertThat(response.bodyText()).contains("\"" + failureType + "\"", "\"not-run\"");
        assertThat(response.status()).isEqualTo(status);
    }

    @Nested
    class ManyCallers {
        private final TreeMap<String, Integer> outcomeCounts = new TreeMap<>();

        private void runAllCallers(String prefix) {
            ExecutorService executor = Executors.newFixedThreadPool(CALLER_COUNT);
            List<CompletableFuture<Void>> calls = new ArrayList<>();
            for (int i = 0; i < CALLER_COUNT; i++) {
                int callerIndex = i;
                calls.add(
                        CompletableFuture.runAsync(
                                () -> sendRequests(prefix, callerIndex), executor));
            }
            calls.forEach(CompletableFuture::join);
            executor.shutdown();
        }

        @Test
        void eachReceiveTheBodyThatTheySent() {
            runAllCallers("own-");
            assertThat(outcomeCounts).containsOnlyKeys("200 own");
            assertThat(allRuns())
                    .filteredOn(run -> run.requestId().startsWith("own-"))
                    .extracting(UpstreamRun::requestId)
                    .hasSize(CALLER_COUNT * CALLS_PER_CALLER)
                    .doesNotHaveDuplicates();
            for (int i = 0; i < UPSTREAM_COUNT; i++) {
                assertThat(deployment.records(i).violations()).isEmpty();
            }
        }

        @Test
        void keepEntriesAndAgentsWithinTheMemoryTarget() {
            runAllCallers("memory-");
            List<ManagedProcess> daemons = new ArrayList<>(deployment.entries());
            daemons.addAll(deployment.agents());
            daemons.forEach(
                    daemon ->
                            System.out.println(
                                    daemon.name() + " VmRSS KiB " + daemon.residentKib()));
            assertThat(daemons).allMatch(daemon -> daemon.residentKib() <= MEMORY_TARGET_KIB);
        }

        private void sendRequests(String prefix, int callerIndex) {
            Random random = new Random(callerIndex);
            for (int i = 0; i < CALLS_PER_CALLER; i++) {
                byte[] body = new byte[i == 0 ? 0 : random.nextInt(MAX_BODY_BYTES + 1)];
                random.nextBytes(body);
                String requestId = prefix + callerIndex + "-" + i;
                recordOutcome(sendUntilAccepted(callerIndex + i, requestId, body), body);
            }
        }

        /** Sends a request and repeats it while an entry responds with 503, up to 200 times. */
        private RequestCaller.EntryResponse sendUntilAccepted(
                int entryIndex, String requestId, byte[] body) {
            try {
                RequestCaller.EntryResponse response =
                        caller.send(entryIndex, requestId, false, body);
                for (int i = 0; response.status() == 503 && i < 200; i++) {
                    Thread.sleep(50L);
                    response = caller.send(entryIndex, requestId, false, body);
                }
                return response;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private synchronized void recordOutcome(
                RequestCaller.EntryResponse response, byte[] sentBody) {
            String outcome =
                    response.status() != 200
                            ? response.status() + " " + response.bodyText()
                            : Arrays.equals(response.body(), sentBody) ? "200 own" : "200 foreign";
            outcomeCounts.merge(outcome, 1, Integer::sum);
        }
    }

    @Nested
    class InvalidInput {
        private static final String PATH = "/v1/classes/weaveplan/requests";

        @Test
        void isRejectedWithItsFailureTypeAndNotRun() throws IOException {
            int runsBefore = allRuns().size();
            RequestBody body = RequestBody.create(new byte[3]);
            assertNotRun(
                    caller.send(
                            caller.requestTo(0, "/v1/classes/nets/requests")
                                    .header(Headers.CUSTOMER, "foremen")
                                    .post(body)),
                    404,
                    "unknown-class");
            assertNotRun(
                    caller.send(
                            caller.requestTo(0, PATH)
                                    .header(Headers.CUSTOMER, "nobody")
                                    .post(body)),
                    404,
                    "unknown-customer");
            assertNotRun(
                    caller.send(
                            caller.requestTo(0, PATH)
                                    .header(Headers.CUSTOMER, "foremen")
                                    .post(RequestBody.create(new byte[(2 << 20) + 1]))),
                    413,
                    "body-too-large");
            for (String deadline : new String[] {"-5", "soon", "99999999999999999999", "1e3"}) {
                RequestCaller.EntryResponse response =
                        caller.send(
                                caller.requestTo(0, PATH)
                                        .header(Headers.CUSTOMER, "foremen")
                                        .header(Headers.DEADLINE_MILLIS, deadline)
                                        .post(body));
                assertThat(response.status()).as(deadline).isEqualTo(400);
                assertThat(response.bodyText()).contains("\"not-run\"");
            }
            RequestCaller.EntryResponse invalidFlagResponse =
                    caller.send(
                            caller.requestTo(0, PATH)
                                    .header(Headers.CUSTOMER, "foremen")
                                    .header(Headers.IDEMPOTENT, "perhaps")
                                    .post(body));
            assertThat(invalidFlagResponse.status()).isEqualTo(400);
            assertThat(invalidFlagResponse.bodyText()).contains("\"not-run\"");
            assertThat(allRuns()).hasSize(runsBefore);
        }

        @Test
        void onOtherPathsIsRejectedWithItsFailureType() throws IOException {
            RequestBody truncatedJson =
                    RequestBody.create("{\"tasks\":".getBytes(StandardCharsets.UTF_8));
            assertNotRun(
                    caller.send(caller.requestTo(0, "/v1/jobs/j1").put(truncatedJson)),
                    400,
                    "malformed-input");
            assertNotRun(caller.send(caller.requestTo(0, PATH).get()), 405, "method-not-allowed");
            assertNotRun(caller.send(caller.requestTo(0, "/v1/nothing").get()), 404, "not-found");
        }

        @Test
        void sentIncompletelyStartsNoRun() throws Exception {
            int runsBefore = allRuns().size();
            ListenAddress entry = ListenAddress.parse(deployment.entryAddresses().get(0));
            String incompleteRequest =
                    "POST "
                            + PATH
                            + " HTTP/1.1\r\nHost: x\r\nCustomer: foremen\r\n"
                            + "Content-Length: 1000\r\n\r\nhalf";
            for (int i = 0; i < 20; i++) {
                try (Socket socket = new Socket(entry.host(), entry.port())) {
                    OutputStream out = socket.getOutputStream();
                    out.write(incompleteRequest.getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
            }
            try (Socket socket = new Socket(entry.host(), entry.port())) {
                socket.setSoTimeout(5_000);
                socket.getOutputStream().write("no http at all\r\n\r\n".getBytes());
                InputStream in = socket.getInputStream();
                assertThat(new String(in.readNBytes(12))).doesNotContain(" 200");
            }
            // This complete request starts the only new run.
            assertThat(caller.send(0, "after-half", false, new byte[5]).status()).isEqualTo(200);
            assertThat(allRuns()).hasSize(runsBefore + 1);
        }
    }
}
