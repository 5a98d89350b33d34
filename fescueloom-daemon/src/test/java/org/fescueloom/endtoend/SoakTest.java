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

@Tag("soak")
class SoakTest {
    private static final long SEED = Long.getLong("soak.seed", 1L);
    private static final long DURATION_SECONDS = Long.getLong("soak.seconds", 600L);
    private static final int UPSTREAMS = 4;
    private static final int CALLERS = 16;
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
    private volatile boolean faultsEnded;

    @Test
    void guaranteesHoldUnderRandomFaults() throws Exception {
        System.out.println("soak seed " + SEED + ", " + DURATION_SECONDS + " s");
        try (LocalDeployment deployment = TestDeployment.startWithEntries("soak", TARGET_MILLIS)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                String zone = TestDeployment.ZONES.get(i % TestDeployment.ZONES.size());
                relays.add(
                        deployment.startRelayedUpstream("u" + i, zone, "--service-millis", "40"));
            }
            deployment.awaitUpstreams(UPSTREAMS);
            List<Thread> callers = startCallers(deployment);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(DURATION_SECONDS);
            while (System.nanoTime() < end) {
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
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Thread thread = new Thread(() -> sendRequests(deployment.entryAddresses(), number));
            thread.start();
            callers.add(thread);
        }
        return callers;
    }

    private void sendRequests(List<String> entries, int number) {
        Random random = new Random(SEED * 1_000L + number);
        try (RequestCaller caller = new RequestCaller(entries)) {
            for (int i = 0; !faultsEnded; i++) {
                boolean idempotent = random.nextInt(3) == 0;
                String id = (idempotent ? "many-" : "once-") + number + "-" + i;
                byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
                random.nextBytes(body);
                int entry = random.nextInt(entries.size());
                String answer = send(caller, entry, id, idempotent, body);
                if (!answer.equals("200 own") && random.nextBoolean()) {
                    send(caller, entry + 1, id, idempotent, body);
                }
                Thread.sleep(random.nextInt(100));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String send(RequestCaller caller, int entry, String id, boolean many, byte[] body) {
        String outcome;
        try {
            RequestCaller.EntryResponse answer = caller.send(entry, id, many, body);
            if (answer.status() == 200) {
                outcome = Arrays.equals(answer.body(), body) ? "200 own" : "200 foreign";
            } else {
                outcome = answer.status() + " " + answer.bodyText().replaceAll(",\"detail.*", "");
            }
        } catch (IOException e) {
            outcome = "no answer: " + e.getClass().getSimpleName();
        }
        synchronized (this) {
            outcomeCounts.merge(outcome, 1, Integer::sum);
            outcomesByRequest.computeIfAbsent(id, k -> new ArrayList<>()).add(outcome);
        }
        return outcome;
    }

    private void injectRandomFault(LocalDeployment deployment) throws InterruptedException {
        int victim = faultRandom.nextInt(UPSTREAMS);
        ManagedProcess agent = deployment.agents().get(victim);
        switch (faultRandom.nextInt(5)) {
            case 0 -> {
                recordFault("agent killed", victim);
                agent.kill();
                pause(500, 2_500);
                deployment.restartAgent(victim);
            }
            case 1 -> {
                recordFault("agent paused", victim);
                agent.send(Signal.STOP);
                pause(200, 6_000);
                agent.send(Signal.CONT);
            }
            case 2 -> {
                FaultKind kind = UPSTREAM_FAULTS.get(faultRandom.nextInt(UPSTREAM_FAULTS.size()));
                recordFault("upstream " + kind.text(), victim);
                ManagedProcess upstream = deployment.upstreams().get(victim);
                Fault fault = Fault.always(kind).withProbability(0.4);
                deployment.faults(upstream, Faults.of(fault));
                pause(1_000, 5_000);
                deployment.faults(upstream, Faults.NONE);
            }
            case 3 -> {
                FaultKind kind = LOG_FAULTS.get(faultRandom.nextInt(LOG_FAULTS.size()));
                recordFault("log " + kind.text(), victim);
                deployment.faults(deployment.log(), Faults.of(Fault.always(kind)));
                pause(1_000, 8_000);
                deployment.faults(deployment.log(), Faults.NONE);
            }
            default -> {
                recordFault("connections silent", victim);
                relays.get(victim).silence();
            }
        }
        pause(200, 2_000);
    }

    private void recordFault(String fault, int victim) {
        faultCounts.merge(fault, 1, Integer::sum);
        faultTimeline.add(System.currentTimeMillis() + " " + fault + " " + victim);
    }

    private void pause(int least, int most) throws InterruptedException {
        Thread.sleep(least + faultRandom.nextInt(most - least));
    }

    private synchronized void checkGuarantees(LocalDeployment deployment) {
        Map<String, List<String>> runs = new HashMap<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            for (UpstreamRun run : deployment.records(i).runs()) {
                String text = "u" + i + " " + run.attemptId() + " at " + run.startMillis();
                runs.computeIfAbsent(run.requestId(), k -> new ArrayList<>()).add(text);
            }
        }
        List<String> doubled =
                runs.keySet().stream()
                        .filter(id -> id.startsWith("once-") && runs.get(id).size() > 1)
                        .map(id -> id + " " + outcomesByRequest.get(id) + " runs " + runs.get(id))
                        .toList();
        List<String> falselyNotRun =
                outcomesByRequest.keySet().stream()
                        .filter(id -> lastOutcome(id).contains("not-run") && runs.containsKey(id))
                        .map(id -> id + " " + outcomesByRequest.get(id) + " runs " + runs.get(id))
                        .toList();
        List<String> invented =
                outcomesByRequest.keySet().stream()
                        .filter(id -> lastOutcome(id).startsWith("200") && !runs.containsKey(id))
                        .toList();
        System.out.println("faults shown " + faultCounts);
        System.out.println("requests " + outcomesByRequest.size() + ", with runs " + runs.size());
        outcomeCounts.forEach((outcome, count) -> System.out.println(count + " x " + outcome));
        print("double runs", doubled);
        print("false not run", falselyNotRun);
        print("answers without a run", invented);
        if (!doubled.isEmpty() || !falselyNotRun.isEmpty()) {
            faultTimeline.forEach(System.out::println);
        }
        assertThat(doubled).isEmpty();
        assertThat(falselyNotRun).isEmpty();
        assertThat(invented).isEmpty();
        assertThat(outcomeCounts).doesNotContainKey("200 foreign").containsKey("200 own");
    }

    private static void print(String what, List<String> all) {
        System.out.println(what + " " + all.size());
        all.stream().limit(10).forEach(System.out::println);
    }

    private String lastOutcome(String id) {
        List<String> all = outcomesByRequest.get(id);
        return all.get(all.size() - 1);
    }
}
