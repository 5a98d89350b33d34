package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.GuaranteedShape;
import org.fescueloom.job.JobSpec;

/** Creates the seeded workloads on which the policies are compared. */
final class Workloads {
    private static final long HOUR_MILLIS = 3_600_000L;

    /**
     * The maximum ratio, in either direction, of the declared run time to the actual run time of
     * jobs whose declared run time is above the minimum of 60 s.
     */
    private static final double MAX_DECLARATION_FACTOR = 10.0;

    private Workloads() {}

    /** Models Lakeshore's workload "weaveplan": many short jobs and a few large ones, all day. */
    static Workload weaveplan(long seed) {
        Random random = new Random(seed);
        String[] zones = {"harbor-shed", "north-yard", "mill-floor"};
        List<JobSpec> kinds =
                List.of(
                        kind("pattern", 1, 1, Adjacency.NONE, 1_200, true),
                        kind("pattern", 1, 2, Adjacency.WORKER, 1_800, true),
                        kind("trap", 2, 1, Adjacency.RACK, 1_800, false),
                        kind("screen", 1, 4, Adjacency.WORKER, 3_600, true),
                        kind("bid", 2, 8, Adjacency.RACK, 7_200, true),
                        kind("bid", 4, 8, Adjacency.NONE, 7_200, true));
        int[] weights = {40, 20, 15, 15, 6, 2};
        List<CustomerPolicy> customers =
                List.of(
                        customer("foremen", 2, 8, Adjacency.WORKER),
                        customer("parks", 2, 4, Adjacency.WORKER),
                        customer("contractors", 1, 16, Adjacency.RACK),
                        customer("depot", 2, 2, Adjacency.WORKER));
        return workload(
                random,
                smallWorkers(zones, 32, 128_000),
                customers,
                kinds,
                weights,
                10,
                640,
                48,
                zones[1]);
    }

    /**
     * Models the Council's workload "iro-match": large comparisons at night, scans by day, slow
     * reshades. The simulated jobs arrive at any time of the day.
     */
    static Workload iroMatch(long seed) {
        Random random = new Random(seed);
        String[] zones = {"dosan-a", "dosan-b", "dosan-c"};
        List<JobSpec> kinds =
                List.of(
                        kind("scan", 1, 1, Adjacency.NONE, 900, false),
                        kind("scan", 1, 2, Adjacency.WORKER, 1_800, true),
                        kind("reshade", 2, 2, Adjacency.NONE, 14_400, true),
                        kind("reshade", 1, 4, Adjacency.WORKER, 14_400, true),
                        kind("glaze", 1, 8, Adjacency.WORKER, 7_200, true),
                        kind("glaze", 2, 8, Adjacency.RACK, 7_200, true),
                        kind("glaze", 8, 2, Adjacency.RACK, 7_200, true));
        int[] weights = {30, 20, 12, 12, 12, 8, 6};
        List<CustomerPolicy> customers =
                List.of(
                        customer("kilns", 2, 16, Adjacency.RACK),
                        customer("roofers", 2, 4, Adjacency.WORKER),
                        customer("archive", 1, 4, Adjacency.WORKER),
                        customer("council", 1, 8, Adjacency.WORKER));
        return workload(
                random,
                smallWorkers(zones, 64, 256_000),
                customers,
                kinds,
                weights,
                10,
                340,
                48,
                zones[2]);
    }

    /**
     * Models the size that the planner is designed for: 510 workers, 730 accelerators, 350
     * customers, 370 jobs a day.
     */
    static Workload designSize(long seed) {
        Random random = new Random(seed);
        List<JobSpec> kinds =
                List.of(
                        kind("small", 1, 1, Adjacency.NONE, 4 * 3_600, true),
                        kind("small", 2, 2, Adjacency.RACK, 4 * 3_600, true),
                        kind("cpu", 8, 0, Adjacency.NONE, 4 * 3_600, true),
                        kind("medium", 4, 2, Adjacency.ZONE, 5 * 3_600, true),
                        kind("medium", 1, 8, Adjacency.WORKER, 5 * 3_600, false),
                        kind("large", 16, 2, Adjacency.ZONE, 6 * 3_600, true),
                        kind("large", 4, 8, Adjacency.ZONE, 6 * 3_600, true),
                        kind("large", 32, 1, Adjacency.NONE, 6 * 3_600, true));
        int[] weights = {25, 20, 10, 15, 14, 6, 4, 6};
        List<CustomerPolicy> customers = new ArrayList<>();
        for (int i = 0; i < 350; i++) {
            int size = i % 20 == 0 ? 8 : 1;
            customers.add(customer("team" + i, 1, size, Adjacency.WORKER));
        }
        return workload(
                random, LargeCluster.workers(510), customers, kinds, weights, 350, 1_480, 96, "z1");
    }

    private static List<WorkerView> smallWorkers(String[] zones, int cpus, long memoryMb) {
        List<WorkerView> workers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            int rack = i / 3;
            workers.add(
                    new WorkerView(
                            "w" + i,
                            zones[rack % zones.length],
                            "r" + rack,
                            i % 3,
                            8,
                            cpus,
                            memoryMb,
                            WorkerCondition.USABLE));
        }
        return workers;
    }

    private static CustomerPolicy customer(String name, int blocks, int size, Adjacency adjacency) {
        return new CustomerPolicy(name, 0, List.of(new GuaranteedShape(blocks, size, adjacency)));
    }

    private static JobSpec kind(
            String serviceClass,
            int tasks,
            int accelerators,
            Adjacency adjacency,
            long meanSeconds,
            boolean checkpointable) {
        int cpus = Math.max(1, accelerators * 3);
        return new JobSpec(
                "any",
                serviceClass,
                tasks,
                accelerators,
                adjacency,
                cpus,
                1_000,
                meanSeconds,
                checkpointable,
                false,
                "run");
    }

    /**
     * Creates a workload.
     *
     * @param kinds the kinds of jobs
     * @param weights the relative frequency of each kind
     * @param doubledBadWorkerIndex twice the index of the worker on which every task fails
     * @param count the number of jobs
     * @param hours the time in which the jobs arrive; one job in three on average arrives within a
     *     minute after another job
     * @param zoneOut the availability zone that is out of service for the hour after half the time
     */
    private static Workload workload(
            Random random,
            List<WorkerView> workers,
            List<CustomerPolicy> customers,
            List<JobSpec> kinds,
            int[] weights,
            int doubledBadWorkerIndex,
            int count,
            int hours,
            String zoneOut) {
        List<Long> arrivals = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean burst = i > 0 && random.nextInt(3) == 0;
            long uniformMillis = (long) (random.nextDouble() * hours * HOUR_MILLIS);
            arrivals.add(burst ? arrivals.get(i - 1) + random.nextInt(60_000) : uniformMillis);
        }
        arrivals.sort(null);
        List<SubmittedJob> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            JobSpec kind = pick(random, kinds, weights);
            jobs.add(job(random, "job" + i, kind, customers, arrivals.get(i)));
        }
        Set<String> badWorkers = Set.of(workers.get(doubledBadWorkerIndex / 2).worker());
        long outFromMillis = hours * HOUR_MILLIS / 2;
        return new Workload(
                workers,
                customers,
                jobs,
                badWorkers,
                zoneOut,
                outFromMillis,
                outFromMillis + HOUR_MILLIS);
    }

    private static JobSpec pick(Random random, List<JobSpec> kinds, int[] weights) {
        int total = 0;
        for (int weight : weights) {
            total += weight;
        }
        int remaining = random.nextInt(total);
        int kind = 0;
        while (remaining >= weights[kind]) {
            remaining -= weights[kind++];
        }
        return kinds.get(kind);
    }

    /**
     * Draws the actual and the declared run time of a job. The declared run time deviates by a
     * factor that is fixed for customer and service class, multiplied by random noise.
     */
    private static SubmittedJob job(
            Random random,
            String id,
            JobSpec kind,
            List<CustomerPolicy> customers,
            long arrivalMillis) {
        int customerIndex = (int) (customers.size() * Math.pow(random.nextDouble(), 1.5));
        String customer = customers.get(customerIndex).name();
        // The subtrahend 0.32 is half of 0.8 squared, so that the mean of the log-normal
        // distribution is the mean run time of the kind.
        double seconds = kind.runSeconds() * Math.exp(0.8 * random.nextGaussian() - 0.32);
        Random biasSource = new Random((customer + kind.serviceClass()).hashCode());
        double bias = Math.pow(MAX_DECLARATION_FACTOR, 0.7 * (2 * biasSource.nextDouble() - 1));
        double noise = Math.pow(MAX_DECLARATION_FACTOR, 0.3 * (2 * random.nextDouble() - 1));
        // No worker has the 9 accelerators that a task of an impossible job needs.
        boolean impossible = random.nextInt(100) == 0;
        JobSpec spec =
                new JobSpec(
                        customer,
                        kind.serviceClass(),
                        kind.tasks(),
                        impossible ? 9 : kind.acceleratorsPerTask(),
                        kind.adjacency(),
                        kind.cpus(),
                        kind.memoryMb(),
                        Math.max(60, (long) (seconds * bias * noise)),
                        kind.checkpointable(),
                        false,
                        "run");
        boolean faulty = random.nextInt(100) == 0;
        return new SubmittedJob(id, spec, arrivalMillis, (long) (seconds * 1_000), faulty);
    }
}
