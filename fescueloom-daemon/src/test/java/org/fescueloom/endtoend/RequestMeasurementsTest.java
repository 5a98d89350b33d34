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

/** Prints figures; the bounds that it checks are promises, not figures of a machine. */
@Tag("benchmark")
class RequestMeasurementsTest {
    private static final int SLOTS_PER_UPSTREAM = UpstreamProfile.DEFAULT_SLOTS;
    private static final int LOAD_SECONDS = Integer.getInteger("measure.seconds", 10);
    private static final long SEED = Long.getLong("measure.seed", 1L);
    private static final int MAX_BODY_BYTES = 2_000;

    private static LoadPlan plan(double perSecond, int count, long targetMillis) {
        return new LoadPlan(
                List.of("none"),
                Routing.ENTRIES,
                TestDeployment.SERVICE_CLASS,
                TestDeployment.CUSTOMERS,
                count,
                perSecond,
                MAX_BODY_BYTES,
                targetMillis,
                SEED);
    }

    private static LoadResult measure(
            LocalDeployment deployment, String name, LoadPlan plan, Routing routing) {
        List<ManagedProcess> targets =
                routing.isDirect() ? deployment.upstreams() : deployment.entries();
        List<String> addresses = targets.stream().map(ManagedProcess::address).toList();
        try {
            LoadResult result =
                    new LoadGenerator(plan.to(addresses, routing), SLOTS_PER_UPSTREAM).run();
            System.out.println(result.tableLine(name + " " + routing));
            assertThat(result.wrongAnswers()).isZero();
            return result;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static CompletableFuture<LoadResult> measureInBackground(
            LocalDeployment deployment, String name, LoadPlan plan) {
        return CompletableFuture.supplyAsync(
                () -> measure(deployment, name, plan, Routing.ENTRIES), r -> new Thread(r).start());
    }

    private static int countRunsStartedBetween(
            LocalDeployment deployment, int index, long from, long to) {
        List<UpstreamRun> runs = deployment.records(index).runs();
        return (int)
                runs.stream().filter(r -> r.startMillis() >= from && r.startMillis() < to).count();
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
        private static final int UPSTREAMS = 4;
        private static final double SERVICE_MILLIS = 80.0;
        private static final double REQUESTS_PER_SECOND =
                UPSTREAMS * SLOTS_PER_UPSTREAM * 1_000.0 / SERVICE_MILLIS;
        private static final long TARGET_MILLIS = 2_000L;

        @Test
        void measuresAddedLatencyAndThroughput() {
            try (LocalDeployment deployment =
                    TestDeployment.startWithEntries("measure-equal", TARGET_MILLIS)) {
                TestDeployment.startUpstreams(
                        deployment, UPSTREAMS, "--service-millis", "" + SERVICE_MILLIS);
                double rate = 0.7 * REQUESTS_PER_SECOND;
                LoadPlan at70 = plan(rate, (int) (rate * LOAD_SECONDS), TARGET_MILLIS);
                System.out.println("capacity/s " + REQUESTS_PER_SECOND + ", seed " + SEED);
                measure(deployment, "warm-up", at70, Routing.ENTRIES);
                System.out.println(LoadResult.tableHead());
                measure(deployment, "70%", at70, Routing.FEWEST_IN_FLIGHT);
                measure(deployment, "70%", at70, Routing.ROUND_ROBIN);
                measure(deployment, "70%", at70, Routing.ENTRIES);
                measure(deployment, "70% again", at70, Routing.FEWEST_IN_FLIGHT);
                measure(deployment, "70% again", at70, Routing.ENTRIES);
                double more = 1.3 * REQUESTS_PER_SECOND;
                LoadPlan at130 = plan(more, (int) (more * LOAD_SECONDS), TARGET_MILLIS);
                measure(deployment, "130%", at130, Routing.ENTRIES);
            }
        }
    }

    @Nested
    class UpstreamsOfDifferentSpeeds {
        private static final int UPSTREAMS = 10;
        private static final double SERVICE_MILLIS = 1_000.0;
        private static final double REQUESTS_PER_SECOND =
                55 * SLOTS_PER_UPSTREAM * 1_000.0 / SERVICE_MILLIS;
        private static final long TARGET_MILLIS = 2_500L;

        private LocalDeployment start(String name) {
            LocalDeployment deployment = TestDeployment.startWithEntries(name, TARGET_MILLIS);
            for (int i = 0; i < UPSTREAMS; i++) {
                deployment.startUpstream(
                        "u" + i,
                        TestDeployment.ZONES.get(i % TestDeployment.ZONES.size()),
                        "--service-millis",
                        "" + SERVICE_MILLIS,
                        "--speed",
                        "" + (i + 1));
            }
            deployment.awaitUpstreams(UPSTREAMS);
            System.out.println("capacity/s " + REQUESTS_PER_SECOND + ", seed " + SEED);
            return deployment;
        }

        private LoadPlan planForShare(double share) {
            double rate = share * REQUESTS_PER_SECOND;
            return plan(rate, (int) (rate * LOAD_SECONDS), TARGET_MILLIS);
        }

        @Test
        void comparesRoutings() {
            try (LocalDeployment deployment = start("measure-spread")) {
                measure(deployment, "warm-up", planForShare(0.8), Routing.ENTRIES);
                System.out.println(LoadResult.tableHead());
                for (double share : new double[] {0.8, 1.5}) {
                    for (Routing routing : Routing.values()) {
                        measure(deployment, 100 * share + "%", planForShare(share), routing);
                    }
                }
                measure(deployment, "burst", plan(0.0, 1_000, TARGET_MILLIS), Routing.ENTRIES);
                measure(
                        deployment,
                        "burst",
                        plan(0.0, 1_000, TARGET_MILLIS),
                        Routing.FEWEST_IN_FLIGHT);
            }
        }

        @Test
        void measuresLossOfUpstreamZoneAndEntry() {
            try (LocalDeployment deployment = start("measure-bad")) {
                measure(deployment, "warm-up", planForShare(0.5), Routing.ENTRIES);
                System.out.println(LoadResult.tableHead());
                ManagedProcess fastest = deployment.upstreams().get(UPSTREAMS - 1);
                deployment.faults(fastest, Faults.of(Fault.slow(10.0)));
                measure(deployment, "50% one slow", planForShare(0.5), Routing.ENTRIES);
                measure(deployment, "50% one slow", planForShare(0.5), Routing.FEWEST_IN_FLIGHT);
                deployment.faults(fastest, Faults.of(Fault.always(FaultKind.FAIL_FAST)));
                long from = System.currentTimeMillis();
                measure(deployment, "50% one fails", planForShare(0.5), Routing.ENTRIES);
                int drawn =
                        countRunsStartedBetween(deployment, UPSTREAMS - 1, from, Long.MAX_VALUE);
                System.out.println("runs that the failing upstream drew: " + drawn);
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
            int status = deployment.operate("PUT", "/v1/zones/north-yard", Map.of("state", "out"));
            long out = System.currentTimeMillis();
            pause(3_000L);
            long later = System.currentTimeMillis();
            pause(3_000L);
            long in = System.currentTimeMillis();
            int inStatus = deployment.operate("PUT", "/v1/zones/north-yard", Map.of("state", "in"));
            load.join();
            int early = 0;
            int late = 0;
            for (int i = 1; i < UPSTREAMS; i += 2) {
                early += countRunsStartedBetween(deployment, i, out, later);
                late += countRunsStartedBetween(deployment, i, later, in);
            }
            System.out.println(
                    "zone out answered "
                            + status
                            + ", in "
                            + inStatus
                            + "; starts in the zone: "
                            + early
                            + " within 3 s of the answer, "
                            + late
                            + " after");
            assertThat(late).isZero();
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
