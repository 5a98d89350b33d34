package org.fescueloom.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.config.Zone;
import org.fescueloom.standins.harness.LocalDeployment;
import org.fescueloom.standins.harness.ManagedProcess;
import org.fescueloom.standins.harness.Signal;
import org.fescueloom.standins.upstream.UpstreamRun;
import org.fescueloom.wire.Headers;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;

/**
 * Kills, stops and ends real processes in the middle of requests and counts the runs at the
 * upstreams; the processes that a test ends are not used by later ones.
 */
@Timeout(180)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class RequestPromisesTest {
    private static final String CLASS = "trap";
    private static final String CUSTOMER = "parks";
    private static final String ZONE = "harbor-shed";
    private static final int UPSTREAMS = 5;
    private static final long SERVICE_MILLIS = 1_000;
    private static final long TARGET_MILLIS = 8_000;

    private static final HttpClient CALLER = HttpClient.newHttpClient();
    private static LocalDeployment deployment;

    @BeforeAll
    static void start() {
        deployment =
                new LocalDeployment(
                        Path.of("target", "request-promises"),
                        List.of("-Xmx64m", "-XX:+UseSerialGC"));
        deployment.startEntries(List.of(ZONE, ZONE, ZONE));
        deployment.publish(
                new ConfigurationDocument(
                        List.of(new ServiceClass(CLASS, TARGET_MILLIS, 0, 1 << 20)),
                        List.of(new CustomerPolicy(CUSTOMER, 0.5, null)),
                        List.of(new Zone(ZONE, null, null, null))));
        for (int i = 0; i < UPSTREAMS; i++) {
            String millis = Long.toString(SERVICE_MILLIS);
            deployment.startUpstream("u" + i, ZONE, "--service-millis", millis, "--spread", "0");
        }
        deployment.awaitUpstreams(UPSTREAMS);
    }

    @AfterAll
    static void close() {
        deployment.close();
    }

    private static CompletableFuture<HttpResponse<String>> send(
            int entry, String id, boolean idempotent, long deadlineMillis) {
        String address = deployment.entryAddresses().get(entry);
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://" + address + "/v1/classes/" + CLASS + "/requests"))
                        .timeout(Duration.ofSeconds(60))
                        .header(Headers.CUSTOMER, CUSTOMER)
                        .header(Headers.REQUEST_ID, id)
                        .header(Headers.IDEMPOTENT, Boolean.toString(idempotent))
                        .header(Headers.DEADLINE_MILLIS, Long.toString(deadlineMillis))
                        .POST(HttpRequest.BodyPublishers.ofString("body of " + id))
                        .build();
        return CALLER.sendAsync(
                request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    }

    private static List<UpstreamRun> findRuns(int upstream, String id) {
        if (!deployment.upstreams().get(upstream).isAlive()) {
            return List.of();
        }
        return deployment.records(upstream).runs().stream()
                .filter(r -> r.requestId().equals(id))
                .toList();
    }

    private static int findRuns(String id) {
        int total = 0;
        for (int i = 0; i < UPSTREAMS; i++) {
            total += findRuns(i, id).size();
        }
        return total;
    }

    /** Waits until a request runs and tells where. */
    private static int awaitUpstreamOf(String id) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            for (int i = 0; i < UPSTREAMS; i++) {
                if (!findRuns(i, id).isEmpty()) {
                    return i;
                }
            }
            Thread.sleep(10);
        }
        throw new AssertionError("request " + id + " runs nowhere");
    }

    private static void assertAnswered(HttpResponse<String> answer, String id) {
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
        assertThat(answer.body()).contains("body of " + id);
    }

    private static void assertOutcomeUnknown(HttpResponse<String> answer) {
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(504);
        assertThat(answer.body()).contains("\"unknown\"");
    }

    @Test
    @Order(1)
    void aRepeatThroughAnotherEntryMeetsTheRunOfAnEntryThatWasKilled() throws Exception {
        CompletableFuture<HttpResponse<String>> first = send(2, "entry-killed", false, 8_000);
        awaitUpstreamOf("entry-killed");
        deployment.entries().get(2).kill();
        assertAnswered(send(1, "entry-killed", false, 8_000).join(), "entry-killed");
        assertAnswered(send(0, "entry-killed", false, 8_000).join(), "entry-killed");
        assertThat(findRuns("entry-killed")).isEqualTo(1);
        assertThat(first).failsWithin(Duration.ofSeconds(10));
    }

    @Test
    @Order(2)
    void aStoppedAgentCausesNoSecondRunAndNoFalseNotRun() throws Exception {
        CompletableFuture<HttpResponse<String>> unsafe = send(0, "stopped", false, 3_000);
        int place = awaitUpstreamOf("stopped");
        ManagedProcess agent = deployment.agents().get(place);
        agent.send(Signal.STOP);
        List<CompletableFuture<HttpResponse<String>>> others = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            others.add(send(i % 2, "others-" + i, i % 4 < 2, 5_000));
        }
        assertOutcomeUnknown(unsafe.join());
        others.forEach(CompletableFuture::join);
        agent.send(Signal.CONT);
        Thread.sleep(2_000);
        assertThat(findRuns("stopped")).isEqualTo(1);
        for (int i = 0; i < others.size(); i++) {
            HttpResponse<String> answer = others.get(i).join();
            boolean idempotent = i % 4 < 2;
            if (idempotent) {
                assertAnswered(answer, "others-" + i);
            } else {
                assertThat(findRuns("others-" + i)).isLessThanOrEqualTo(1);
            }
            if (answer.body().contains("\"not-run\"")) {
                assertThat(findRuns("others-" + i)).isZero();
            }
        }
    }

    @Test
    @Order(3)
    void anAgentThatIsToldToStopEndsWhatRuns() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            answers.add(send(i % 2, "drain-" + i, false, 8_000));
        }
        int place = awaitUpstreamOf("drain-0");
        ManagedProcess agent = deployment.agents().get(place);
        agent.send(Signal.TERM);
        for (int i = 0; i < answers.size(); i++) {
            assertAnswered(answers.get(i).join(), "drain-" + i);
            assertThat(findRuns("drain-" + i)).isEqualTo(1);
        }
        assertThat(agent.awaitExit(Duration.ofSeconds(20))).isTrue();
    }

    @Test
    @Order(4)
    void aKilledAgentLeavesADefiniteOutcomeOrUnknown() throws Exception {
        CompletableFuture<HttpResponse<String>> unsafe = send(0, "agent-killed", false, 8_000);
        int place = awaitUpstreamOf("agent-killed");
        CompletableFuture<HttpResponse<String>> safe = send(1, "agent-killed-safe", true, 8_000);
        awaitUpstreamOf("agent-killed-safe");
        long killedAt = System.nanoTime();
        deployment.agents().get(place).kill();
        assertOutcomeUnknown(unsafe.join());
        assertThat(System.nanoTime() - killedAt).isLessThan(TimeUnit.SECONDS.toNanos(5));
        assertOutcomeUnknown(send(1, "agent-killed", false, 3_000).join());
        assertThat(findRuns("agent-killed")).isEqualTo(1);
        assertAnswered(safe.join(), "agent-killed-safe");
    }

    @Test
    @Order(5)
    void aKilledUpstreamIsNotFollowedByASecondRun() throws Exception {
        CompletableFuture<HttpResponse<String>> unsafe = send(0, "upstream-killed", false, 8_000);
        int place = awaitUpstreamOf("upstream-killed");
        deployment.upstreams().get(place).kill();
        assertOutcomeUnknown(unsafe.join());
        assertOutcomeUnknown(send(1, "upstream-killed", false, 8_000).join());
        assertThat(findRuns("upstream-killed")).as("runs at the other upstreams").isZero();
    }

    @Test
    @Order(6)
    void anEntryThatIsToldToStopEndsWhatRuns() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            answers.add(send(1, "entry-drain-" + i, false, 8_000));
        }
        awaitUpstreamOf("entry-drain-0");
        ManagedProcess entry = deployment.entries().get(1);
        entry.send(Signal.TERM);
        for (int i = 0; i < answers.size(); i++) {
            assertAnswered(answers.get(i).join(), "entry-drain-" + i);
        }
        assertThat(entry.awaitExit(Duration.ofSeconds(20))).isTrue();
    }
}
