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
    private static final int UPSTREAMS = 3;
    private static final int CALLERS = 50;
    private static final int CALLS_EACH = 20;
    private static final int MAX_BODY = 1 << 20;
    private static final long TARGET_MILLIS = 20_000L;
    private static final long MEMORY_TARGET_KIB = 128L * 1024L;
    private static LocalDeployment deployment;
    private static RequestCaller caller;

    @BeforeAll
    static void start() {
        deployment = TestDeployment.withEntries("requests", TARGET_MILLIS);
        TestDeployment.startUpstreams(deployment, UPSTREAMS, "--service-millis", "20");
        caller = new RequestCaller(deployment.entryAddresses());
    }

    @AfterAll
    static void close() {
        deployment.close();
        caller.close();
    }

    private static List<UpstreamRun> runs() {
        return IntStream.range(0, UPSTREAMS)
                .mapToObj(deployment::records)
                .flatMap(r -> r.runs().stream())
                .toList();
    }

    private static void assertNotRun(RequestCaller.Answer answer, int status, String type) {
        assertThat(answer.text()).contains("\"" + type + "\"", "\"not-run\"");
        assertThat(answer.status()).isEqualTo(status);
    }

    @Nested
    class ManyCallers {
        private final TreeMap<String, Integer> outcomes = new TreeMap<>();

        private void callAll(String prefix) {
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            List<CompletableFuture<Void>> all = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                all.add(CompletableFuture.runAsync(() -> call(prefix, number), callers));
            }
            all.forEach(CompletableFuture::join);
            callers.shutdown();
        }

        @Test
        void eachGetItsOwnWholeAnswer() {
            callAll("own-");
            assertThat(outcomes).containsOnlyKeys("200 own");
            assertThat(runs())
                    .filteredOn(r -> r.requestId().startsWith("own-"))
                    .extracting(UpstreamRun::requestId)
                    .hasSize(CALLERS * CALLS_EACH)
                    .doesNotHaveDuplicates();
            for (int i = 0; i < UPSTREAMS; i++) {
                assertThat(deployment.records(i).violations()).isEmpty();
            }
        }

        @Test
        void keepEntriesAndAgentsWithinTheMemoryTarget() {
            callAll("memory-");
            List<ManagedProcess> daemons = new ArrayList<>(deployment.entries());
            daemons.addAll(deployment.agents());
            daemons.forEach(d -> System.out.println(d.name() + " VmRSS KiB " + d.residentKib()));
            assertThat(daemons).allMatch(d -> d.residentKib() <= MEMORY_TARGET_KIB);
        }

        private void call(String prefix, int number) {
            Random random = new Random(number);
            for (int i = 0; i < CALLS_EACH; i++) {
                byte[] body = new byte[i == 0 ? 0 : random.nextInt(MAX_BODY + 1)];
                random.nextBytes(body);
                String id = prefix + number + "-" + i;
                note(answer(number + i, id, body), body);
            }
        }

        private RequestCaller.Answer answer(int entry, String id, byte[] body) {
            try {
                RequestCaller.Answer answer = caller.send(entry, id, false, body);
                for (int i = 0; answer.status() == 503 && i < 200; i++) {
                    Thread.sleep(50L);
                    answer = caller.send(entry, id, false, body);
                }
                return answer;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private synchronized void note(RequestCaller.Answer answer, byte[] body) {
            String outcome =
                    answer.status() != 200
                            ? answer.status() + " " + answer.text()
                            : Arrays.equals(answer.body(), body) ? "200 own" : "200 foreign";
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }

    @Nested
    class BadInput {
        private static final String PATH = "/v1/classes/weaveplan/requests";

        @Test
        void isRefusedByTypeAndNotRun() throws IOException {
            int before = runs().size();
            RequestBody body = RequestBody.create(new byte[3]);
            assertNotRun(
                    caller.send(
                            caller.request(0, "/v1/classes/nets/requests")
                                    .header(Headers.CUSTOMER, "foremen")
                                    .post(body)),
                    404,
                    "unknown-class");
            assertNotRun(
                    caller.send(
                            caller.request(0, PATH).header(Headers.CUSTOMER, "nobody").post(body)),
                    404,
                    "unknown-customer");
            assertNotRun(
                    caller.send(
                            caller.request(0, PATH)
                                    .header(Headers.CUSTOMER, "foremen")
                                    .post(RequestBody.create(new byte[(2 << 20) + 1]))),
                    413,
                    "body-too-large");
            for (String deadline : new String[] {"-5", "soon", "99999999999999999999", "1e3"}) {
                RequestCaller.Answer answer =
                        caller.send(
                                caller.request(0, PATH)
                                        .header(Headers.CUSTOMER, "foremen")
                                        .header(Headers.DEADLINE_MILLIS, deadline)
                                        .post(body));
                assertThat(answer.status()).as(deadline).isEqualTo(400);
                assertThat(answer.text()).contains("\"not-run\"");
            }
            RequestCaller.Answer kind =
                    caller.send(
                            caller.request(0, PATH)
                                    .header(Headers.CUSTOMER, "foremen")
                                    .header(Headers.IDEMPOTENT, "perhaps")
                                    .post(body));
            assertThat(kind.status()).isEqualTo(400);
            assertThat(kind.text()).contains("\"not-run\"");
            assertThat(runs()).hasSize(before);
        }

        @Test
        void ofOtherPathsIsRefusedByType() throws IOException {
            RequestBody text = RequestBody.create("{\"tasks\":".getBytes(StandardCharsets.UTF_8));
            assertNotRun(
                    caller.send(caller.request(0, "/v1/jobs/j1").put(text)),
                    400,
                    "malformed-input");
            assertNotRun(caller.send(caller.request(0, PATH).get()), 405, "method-not-allowed");
            assertNotRun(caller.send(caller.request(0, "/v1/nothing").get()), 404, "not-found");
        }

        @Test
        void sentHalfLeavesNothingBehind() throws Exception {
            int before = runs().size();
            ListenAddress entry = ListenAddress.parse(deployment.entryAddresses().get(0));
            String head =
                    "POST "
                            + PATH
                            + " HTTP/1.1\r\nHost: x\r\nCustomer: foremen\r\n"
                            + "Content-Length: 1000\r\n\r\nhalf";
            for (int i = 0; i < 20; i++) {
                try (Socket socket = new Socket(entry.host(), entry.port())) {
                    OutputStream out = socket.getOutputStream();
                    out.write(head.getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
            }
            try (Socket socket = new Socket(entry.host(), entry.port())) {
                socket.setSoTimeout(5_000);
                socket.getOutputStream().write("no http at all\r\n\r\n".getBytes());
                InputStream in = socket.getInputStream();
                assertThat(new String(in.readNBytes(12))).doesNotContain(" 200");
            }
            assertThat(caller.send(0, "after-half", false, new byte[5]).status()).isEqualTo(200);
            assertThat(runs()).hasSize(before + 1);
        }
    }
}
