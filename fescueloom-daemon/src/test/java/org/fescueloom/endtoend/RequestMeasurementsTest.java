package org.fescueloom.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.harness.LocalDeployment;
import org.fescueloom.standins.harness.ManagedProcess;
import org.fescueloom.standins.load.LoadGenerator;
import org.fescueloom.standins.load.LoadPlan;
import org.fescueloom.standins.load.LoadResult;
import org.fescueloom.standins.load.Routing;
import org.fescueloom.standins.upstream.UpstreamProfile;
import org.fescueloom.standins.upstream.UpstreamRun;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Measures latency and throughput and prints the results.
 *
 * <p>The assertions check guarantees of the system only; they do not depend on the speed of the
 * machine.
 */
@Tag("benchmark")
class RequestMeasurementsTest {
    private static final int SLOTS_PER_UPSTREAM = UpstreamProfile.DEFAULT_SLOTS;
    private static final int LOAD_SECONDS = Integer.getInteger("measure.seconds", 10);
    private static final long SEED = Long.getLong("measure.seed", 1L);
    private static final int MAX_BODY_BYTES = 2_000;

    private static LoadPlan createPlan(
            double requestsPerSecond, int requestCount, long targetMillis) {
        return new LoadPlan(
                // measure() replaces the addresses and the routing
                List.of("none"),
                Routing.ENTRIES,
                TestDeployment.SERVICE_CLASS,
                TestDeployment.CUSTOMERS,
                requestCount,
                requestsPerSecond,
                MAX_BODY_BYTES,
                targetMillis,
                SEED);
    }

    private static LoadResult measure(
            LocalDeployment deployment, String label, LoadPlan plan, Routing routing) {
        List<ManagedProcess> targets =
                routing.isDirect() ? deployment.upstreams() : deployment.entries();
        List<String> addresses = targets.stream().map(ManagedProcess::address).toList();
        try {
            LoadResult result =
                    new LoadGenerator(plan.withTargets(addresses, routing), SLOTS_PER_UPSTREAM)
                            .run();
            System.out.println(result.tableLine(label + " " + routing));
            assertThat(result.wrongAnswers()).isZero();
            return result;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static CompletableFuture<LoadResult> measureInBackground(
            LocalDeployment deployment, String label, LoadPlan plan) {
        return CompletableFuture.supplyAsync(
                () -> measure(deployment, label, plan, Routing.ENTRIES),
                task -> new Thread(task).start());
    }

    private static int countRunsStartedBetween(
            LocalDeployment deployment, int upstreamIndex, long fromMillis, long toMillis) {
        List<UpstreamRun> runs = deployment.records(upstreamIndex).runs();
        return (int)
                runs.stream()
                        .filter(
                                run ->
                                        run.startMillis() >= fromMillis
                                                && run.startMillis() < toMillis)
                        .count();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new CompletionException(e);
        }
    }

    @Nested
    class EqualUpstreams {
        private static final int UPSTREAM_COUNT = 4;
        private static final double SERVICE_MILLIS = 80.0;
        private static final double CAPACITY_PER_SECOND =
                UPSTREAM_COUNT * SLOTS_PER_UPSTREAM * 1_000.0 / SERVICE_MILLIS;
        private static final long TARGET_MILLIS = 2_000L;

        @Test
        void measuresAddedLatencyAndThroughput() {
            try (LocalDeployment deployment =
                    TestDeployment.startWithEntries("measure-equal", TARGET_MILLIS)) {
                TestDeployment.startUpstreams(
                        deployment, UPSTREAM_COUNT, "--service-millis", "" + SERVICE_MILLIS);
                double rate = 0.7 * CAPACITY_PER_SECOND;
                LoadPlan at70 = createPlan(rate, (int) (rate * LOAD_SECONDS), TARGET_MILLIS);
                System.out.println("capacity/s " + CAPACITY_PER_SECOND + ", seed " + SEED);
                measure(deployment, "warm-up", at70, Routing.ENTRIES);
                System.out.println(LoadResult.tableHead());
                measure(deployment, "70%", at70, Routing.FEWEST_IN_FLIGHT);
                measure(deployment, "70%", at70, Routing.ROUND_ROBIN);
                measure(deployment, "70%", at70, Routing.ENTRIES);
                measure(deployment, "70% again", at70, Routing.FEWEST_IN_FLIGHT);
                measure(deployment, "70% again", at70, Routing.ENTRIES);
                double overloadRate = 1.3 * CAPACITY_PER_SECOND;
                LoadPlan at130 =
                        createPlan(
                                overloadRate, (int) (overloadRate * LOAD_SECONDS), TARGET_MILLIS);
                measure(deployment, "130%", at130, Routing.ENTRIES);
            }
        }
    }

    @Nested
    class UpstreamsOfDifferentSpeeds {
        private static final int UPSTREAM_COUNT = 10;
        private static final double SERVICE_MILLIS = 1_000.0;
        // 55 is the sum of the upstreams' speeds, which are 1 to 10
        private static final double CAPACITY_PER_SECOND =
                55 * SLOTS_PER_UPSTREAM * 1_000.0 / SERVICE_MILLIS;
        private static final long TARGET_MILLIS = 2_500L;

        private LocalDeployment startDeployment(String name) {
            LocalDeployment deployment = TestDeployment.startWithEntries(name, TARGET_MILLIS);
            for (int i = 0; i < UPSTREAM_COUNT; i++) {
                deployment.startAgentAndUpstream(
                        "u" + i,
                        TestDeployment.ZONES.get(i % TestDeployment.ZONES.size()),
                        "--service-millis",
                        "" + SERVICE_MILLIS,
                        "--speed",
                        "" + (i + 1));
            }
            deployment.awaitUpstreams(UPSTREAM_COUNT);
            System.out.println("capacity/s " + CAPACITY_PER_SECOND + ", seed " + SEED);
            return deployment;
        }

        /** Creates a plan whose rate is a share of the capacity of all upstreams. */
        private LoadPlan planForShare(double share) {
            double rate = share * CAPACITY_PER_SECOND;
            return createPlan(rate, (int) (rate * LOAD_SECONDS), TARGET_MILLIS);
        }

        @Test
        void comparesRoutings() {
            try (LocalDeployment deployment = startDeployment("measure-spread")) {
                measure(deployment, "warm-up", planForShare(0.8), Routing.ENTRIES);
                System.out.println(LoadResult.tableHead());
                for (double share : new double[] {0.8, 1.5}) {
                    for (Routing routing : Routing.values()) {
                        measure(deployment, 100 * share + "%", planForShare(share), routing);
                    }
                }
                // A rate of 0 sends all requests at once.
                measure(
                        deployment,
                        "burst",
                        createPlan(0.0, 1_000, TARGET_MILLIS),
                        Routing.ENTRIES);
                measure(
                        deployment,
                        "burst",
                        createPlan(0.0, 1_000, TARGET_MILLIS),
                        Routing.FEWEST_IN_FLIGHT);
            }
        }

        @Test
        void measuresFaultyUpstreamsZoneOutAndEntryLoss() {
            try (LocalDeployment deployment = startDeployment("measure-bad")) {
                measure(deployment, "warm-up", planForShare(0.5), Routing.ENTRIES);
                System.out.println(LoadResult.tableHead());
                ManagedProcess fastest = deployment.upstreams().get(UPSTREAM_COUNT - 1);
                deployment.faults(fastest, Faults.of(Fault.slow(10.0)));
                measure(deployment, "50% one slow", planForShare(0.5), Routing.ENTRIES);
                measure(deployment, "50% one slow", planForShare(0.5), Routing.FEWEST_IN_FLIGHT);
                deployment.faults(fastest, Faults.of(Fault.always(FaultKind.FAIL_FAST)));
                long fromMillis = System.currentTimeMillis();
                measure(deployment, "50% one fails", planForShare(0.5), Routing.ENTRIES);
                int runCount =
                        countRunsStartedBetween(
                                deployment, UPSTREAM_COUNT - 1, fromMillis, Long.MAX_VALUE);
                System.out.println("runs on the failing upstream: " + runCount);
                measure(deployment, "50% one fails", planForShare(0.5), Routing.FEWEST_IN_FLIGHT);
                deployment.faults(fastest, Faults.NONE);
                takeZoneOutAndIn(deployment);
                loseEntry(deployment);
            }
        }

        private void takeZoneOutAndIn(LocalDeployment deployment) {
            CompletableFuture<LoadResult> load =
                    measureInBackground(deployment, "35% zone out/in", planForShare(0.35));
            pause(2_000L);
            int outStatus =
                    deployment.sendOperatorRequest(
                            "PUT", "/v1/zones/north-yard", Map.of("state", "out"));
            long outMillis = System.currentTimeMillis();
            pause(3_000L);
            long settledMillis = System.currentTimeMillis();
            pause(3_000L);
            long inMillis = System.currentTimeMillis();
            int inStatus =
                    deployment.sendOperatorRequest(
                            "PUT", "/v1/zones/north-yard", Map.of("state", "in"));
            load.join();
            int earlyStarts = 0;
            int lateStarts = 0;
            // Every second upstream is in the zone north-yard.
            for (int i = 1; i < UPSTREAM_COUNT; i += 2) {
                earlyStarts += countRunsStartedBetween(deployment, i, outMillis, settledMillis);
                lateStarts += countRunsStartedBetween(deployment, i, settledMillis, inMillis);
            }
            System.out.println(
                    "status of zone out: "
                            + outStatus
                            + ", of zone in: "
                            + inStatus
                            + "; starts in the zone: "
                            + earlyStarts
                            + " within 3 s of the response, "
                            + lateStarts
                            + " after");
            // Runs may start in the zone within 3 s of the response, but not later.
            assertThat(lateStarts).isZero();
        }

        private void loseEntry(LocalDeployment deployment) {
            CompletableFuture<LoadResult> load =
                    measureInBackground(deployment, "50% one entry lost", planForShare(0.5));
            pause(3_000L);
            deployment.entries().get(1).kill();
            load.join();
        }
    }
}
