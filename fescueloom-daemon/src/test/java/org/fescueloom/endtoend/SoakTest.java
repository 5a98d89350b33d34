package org.fescueloom.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.harness.LocalDeployment;
import org.fescueloom.standins.harness.ManagedProcess;
import org.fescueloom.standins.harness.Signal;
import org.fescueloom.standins.harness.SilentRelay;
import org.fescueloom.standins.upstream.UpstreamRun;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Sends requests while random faults are injected and checks the guarantees afterwards: a request
 * that is not idempotent runs at most once, a request reported as not run has not run, and a
 * successful response comes from a run of its own request.
 */
@Tag("soak")
class SoakTest {
    private static final long SEED = Long.getLong("soak.seed", 1L);
    private static final long DURATION_SECONDS = Long.getLong("soak.seconds", 600L);
    private static final int UPSTREAM_COUNT = 4;
    private static final int CALLER_COUNT = 16;
    private static final int MAX_BODY_BYTES = 32 * 1024;
    private static final long TARGET_MILLIS = 3_000L;
    private static final List<FaultKind> UPSTREAM_FAULTS =
            List.of(
                    FaultKind.FAIL_FAST,
                    FaultKind.CUT_SHORT,
                    FaultKind.FOREIGN_ANSWER,
                    FaultKind.DOUBLE_ANSWER,
                    FaultKind.NEVER_ANSWER,
                    FaultKind.NONSENSE,
                    FaultKind.LOSE_ANSWER);
    private static final List<FaultKind> LOG_FAULTS =
            List.of(FaultKind.REFUSE, FaultKind.CLOSE, FaultKind.FREEZE, FaultKind.LOSE_ANSWER);

    private final Random faultRandom = new Random(SEED);
    private final Map<String, List<String>> outcomesByRequest = new HashMap<>();
    private final Map<String, Integer> outcomeCounts = new TreeMap<>();
    private final Map<String, Integer> faultCounts = new TreeMap<>();
    private final List<String> faultTimeline = new ArrayList<>();
    private final List<SilentRelay> relays = new ArrayList<>();
    // Tells the callers to stop
    private volatile boolean faultsEnded;

    @Test
    void guaranteesHoldUnderRandomFaults() throws Exception {
        System.out.println("soak seed " + SEED + ", " + DURATION_SECONDS + " s");
        try (LocalDeployment deployment = TestDeployment.startWithEntries("soak", TARGET_MILLIS)) {
            for (int i = 0; i < UPSTREAM_COUNT; i++) {
                String zone = TestDeployment.ZONES.get(i % TestDeployment.ZONES.size());
                relays.add(
                        deployment.startRelayedUpstream("u" + i, zone, "--service-millis", "40"));
            }
            deployment.awaitUpstreams(UPSTREAM_COUNT);
            List<Thread> callers = startCallers(deployment);
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DURATION_SECONDS);
            while (System.nanoTime() < endNanos) {
                injectRandomFault(deployment);
            }
            faultsEnded = true;
            for (Thread caller : callers) {
                caller.join();
            }
            checkGuarantees(deployment);
        }
    }

    private List<Thread> startCallers(LocalDeployment deployment) {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLER_COUNT; i++) {
            int callerIndex = i;
            Thread thread =
                    new Thread(() -> sendRequests(deployment.entryAddresses(), callerIndex));
            thread.start();
            callers.add(thread);
        }
        return callers;
    }

    private void sendRequests(List<String> entries, int callerIndex) {
        Random random = new Random(SEED * 1_000L + callerIndex);
        try (RequestCaller caller = new RequestCaller(entries)) {
            for (int i = 0; !faultsEnded; i++) {
                boolean idempotent = random.nextInt(3) == 0;
                String requestId = (idempotent ? "many-" : "once-") + callerIndex + "-" + i;
                byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
                random.nextBytes(body);
                int entryIndex = random.nextInt(entries.size());
                String outcome = send(caller, entryIndex, requestId, idempotent, body);
                // Repeats about half of the unsuccessful requests through the next entry.
                if (!outcome.equals("200 own") && random.nextBoolean()) {
                    send(caller, entryIndex + 1, requestId, idempotent, body);
                }
                Thread.sleep(random.nextInt(100));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends a request, records its outcome and returns the outcome as text: "200 own" if the
     * response has the body of the request, "200 foreign" if it has another body.
     */
    private String send(
            RequestCaller caller,
            int entryIndex,
            String requestId,
            boolean idempotent,
            byte[] body) {
        String outcome;
        try {
            RequestCaller.EntryResponse response =
                    caller.send(entryIndex, requestId, idempotent, body);
            if (response.status() == 200) {
                outcome = Arrays.equals(response.body(), body) ? "200 own" : "200 foreign";
            } else {
                // Outcomes are counted by their text, so the detail is left out.
                outcome =
                        response.status() + " " + response.bodyText().replaceAll(",\"detail.*", "");
            }
        } catch (IOException e) {
            outcome = "no response: " + e.getClass().getSimpleName();
        }
        synchronized (this) {
            outcomeCounts.merge(outcome, 1, Integer::sum);
            outcomesByRequest.computeIfAbsent(requestId, k -> new ArrayList<>()).add(outcome);
        }
        return outcome;
    }

    /** Injects a fault, waits and ends the fault; connections made silent stay silent. */
    private void injectRandomFault(LocalDeployment deployment) throws InterruptedException {
        int upstreamIndex = faultRandom.nextInt(UPSTREAM_COUNT);
        ManagedProcess agent = deployment.agents().get(upstreamIndex);
        switch (faultRandom.nextInt(5)) {
            case 0 -> {
                recordFault("agent killed", upstreamIndex);
                agent.kill();
                sleepRandomly(500, 2_500);
                deployment.restartAgent(upstreamIndex);
            }
            case 1 -> {
                recordFault("agent paused", upstreamIndex);
                agent.send(Signal.STOP);
                sleepRandomly(200, 6_000);
                agent.send(Signal.CONT);
            }
            case 2 -> {
                FaultKind kind = UPSTREAM_FAULTS.get(faultRandom.nextInt(UPSTREAM_FAULTS.size()));
                recordFault("upstream " + kind.text(), upstreamIndex);
                ManagedProcess upstream = deployment.upstreams().get(upstreamIndex);
                Fault fault = Fault.always(kind).withProbability(0.4);
                deployment.faults(upstream, Faults.of(fault));
                sleepRandomly(1_000, 5_000);
                deployment.faults(upstream, Faults.NONE);
            }
            case 3 -> {
                FaultKind kind = LOG_FAULTS.get(faultRandom.nextInt(LOG_FAULTS.size()));
                recordFault("log " + kind.text(), upstreamIndex);
                deployment.faults(deployment.logService(), Faults.of(Fault.always(kind)));
                sleepRandomly(1_000, 8_000);
                deployment.faults(deployment.logService(), Faults.NONE);
            }
            default -> {
                recordFault("connections silent", upstreamIndex);
                relays.get(upstreamIndex).silence();
            }
        }
        sleepRandomly(200, 2_000);
    }

    private void recordFault(String fault, int upstreamIndex) {
        faultCounts.merge(fault, 1, Integer::sum);
        faultTimeline.add(System.currentTimeMillis() + " " + fault + " " + upstreamIndex);
    }

    private void sleepRandomly(int minMillis, int maxMillis) throws InterruptedException {
        Thread.sleep(minMillis + faultRandom.nextInt(maxMillis - minMillis));
    }

    private synchronized void checkGuarantees(LocalDeployment deployment) {
        Map<String, List<String>> runsByRequest = new HashMap<>();
        for (int i = 0; i < UPSTREAM_COUNT; i++) {
            for (UpstreamRun run : deployment.records(i).runs()) {
                String description = "u" + i + " " + run.attemptId() + " at " + run.startMillis();
                runsByRequest
                        .computeIfAbsent(run.requestId(), k -> new ArrayList<>())
                        .add(description);
            }
        }
        List<String> ranMoreThanOnce =
                runsByRequest.keySet().stream()
                        .filter(id -> id.startsWith("once-") && runsByRequest.get(id).size() > 1)
                        .map(
                                id ->
                                        id
                                                + " "
                                                + outcomesByRequest.get(id)
                                                + " runs "
                                                + runsByRequest.get(id))
                        .toList();
        List<String> reportedNotRunButRan =
                outcomesByRequest.keySet().stream()
                        .filter(
                                id ->
                                        lastOutcome(id).contains("not-run")
                                                && runsByRequest.containsKey(id))
                        .map(
                                id ->
                                        id
                                                + " "
                                                + outcomesByRequest.get(id)
                                                + " runs "
                                                + runsByRequest.get(id))
                        .toList();
        List<String> succeededWithoutRun =
                outcomesByRequest.keySet().stream()
                        .filter(
                                id ->
                                        lastOutcome(id).startsWith("200")
                                                && !runsByRequest.containsKey(id))
                        .toList();
        System.out.println("injected faults " + faultCounts);
        System.out.println(
                "requests " + outcomesByRequest.size() + ", with runs " + runsByRequest.size());
        outcomeCounts.forEach((outcome, count) -> System.out.println(count + " x " + outcome));
        printViolations("requests that ran more than once", ranMoreThanOnce);
        printViolations("requests reported as not run that ran", reportedNotRunButRan);
        printViolations("successful responses without a run", succeededWithoutRun);
        if (!ranMoreThanOnce.isEmpty() || !reportedNotRunButRan.isEmpty()) {
            faultTimeline.forEach(System.out::println);
        }
        assertThat(ranMoreThanOnce).isEmpty();
        assertThat(reportedNotRunButRan).isEmpty();
        assertThat(succeededWithoutRun).isEmpty();
        assertThat(outcomeCounts).doesNotContainKey("200 foreign").containsKey("200 own");
    }

    private static void printViolations(String title, List<String> violations) {
        System.out.println(title + " " + violations.size());
        violations.stream().limit(10).forEach(System.out::println);
    }

    private String lastOutcome(String requestId) {
        List<String> outcomes = outcomesByRequest.get(requestId);
        return outcomes.get(outcomes.size() - 1);
    }
}
