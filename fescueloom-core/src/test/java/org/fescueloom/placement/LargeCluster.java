package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.GuaranteedShape;
import org.fescueloom.job.JobSpec;

/**
 * Creates the planner input of a cluster that has the size the planner is designed for, or a
 * multiple of it, with running and waiting jobs.
 */
final class LargeCluster {
    private static final int WORKERS = 510;
    private static final int CUSTOMERS = 350;
    private static final int CUSTOMERS_WITH_LARGE_BLOCKS = 20;
    private static final long NOW_MILLIS = 10_000_000L;

    private LargeCluster() {}

    /**
     * Creates the input of one planning round.
     *
     * @param workerFactor the number of workers, as a multiple of 510, and the number of customers,
     *     as a multiple of 350
     * @param tasks the number of running tasks
     * @param waiting the number of waiting jobs
     */
    static PlanInput input(double workerFactor, int tasks, int waiting) {
        Random random = new Random(42);
        List<WorkerView> workers = workers((int) (WORKERS * workerFactor));
        List<CustomerPolicy> customers = customers((int) (CUSTOMERS * workerFactor));
        List<Allocation> running = startGangs(random, workers, customers, tasks);
        List<WaitingJob> jobs = new ArrayList<>();
        for (int i = 0; i < waiting; i++) {
            jobs.add(job(random, "wait" + i, customers.size()));
        }
        return new PlanInput(NOW_MILLIS, new ClusterView(workers, running), jobs, customers, null);
    }

    /**
     * Returns workers; each 510 of them have 730 accelerators: 30 workers have 8, 60 have 4 and 125
     * have 2.
     */
    static List<WorkerView> workers(int count) {
        List<WorkerView> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int place = i % WORKERS;
            int accelerators = place % 17 == 0 ? 8 : place % 17 <= 2 ? 4 : place % 17 <= 6 ? 2 : 0;
            // The last five workers have 2 accelerators, which makes 730 accelerators in total.
            accelerators = place >= 505 ? 2 : accelerators;
            int rack = i / 3;
            workers.add(
                    new WorkerView(
                            "w" + i,
                            "z" + rack % 4,
                            "r" + rack,
                            i % 3,
                            accelerators,
                            32 + 4 * accelerators,
                            128_000,
                            WorkerCondition.USABLE));
        }
        return workers;
    }

    private static List<CustomerPolicy> customers(int count) {
        List<CustomerPolicy> customers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean large = i % (CUSTOMERS / CUSTOMERS_WITH_LARGE_BLOCKS) == 0;
            GuaranteedShape shape =
                    large
                            ? new GuaranteedShape(1, 8, Adjacency.WORKER)
                            : new GuaranteedShape(1, 1, Adjacency.WORKER);
            customers.add(new CustomerPolicy("team" + i, 0, List.of(shape)));
        }
        return customers;
    }

    private static WaitingJob job(Random random, String id, int customers) {
        boolean accelerated = random.nextInt(3) > 0;
        int tasks = 1 << random.nextInt(6);
        int accelerators = accelerated ? 1 << random.nextInt(3) : 0;
        Adjacency adjacency = tasks * accelerators <= 8 ? Adjacency.RACK : Adjacency.ZONE;
        JobSpec spec =
                new JobSpec(
                        "team" + random.nextInt(customers),
                        "k" + random.nextInt(4),
                        tasks,
                        accelerators,
                        adjacency,
                        2,
                        1_000,
                        600 + random.nextInt(20_000),
                        random.nextInt(3) > 0,
                        random.nextInt(50) == 0,
                        "run");
        long acceptedAt = NOW_MILLIS - random.nextInt(8_000_000);
        return new WaitingJob(id, spec, acceptedAt, 0, spec.runSeconds() * 1_000, null);
    }

    /**
     * Returns running gangs with the given number of tasks in total. Plans rounds with random jobs
     * until the number is reached, or returns fewer tasks after 100 rounds.
     */
    private static List<Allocation> startGangs(
            Random random, List<WorkerView> workers, List<CustomerPolicy> customers, int tasks) {
        List<Allocation> running = new ArrayList<>();
        int placed = 0;
        for (int tries = 0; placed < tasks && tries < 100; tries++) {
            List<WaitingJob> jobs = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                jobs.add(job(random, "run" + tries + "-" + i, customers.size()));
            }
            PlanInput input =
                    new PlanInput(
                            NOW_MILLIS, new ClusterView(workers, running), jobs, customers, null);
            Plan plan = PlacementPolicy.BUDDY_RESERVATION.planner().plan(input);
            for (StartGang start : plan.decisions(StartGang.class)) {
                WaitingJob job =
                        jobs.stream().filter(j -> j.job().equals(start.job())).findAny().get();
                boolean fits = placed + job.spec().tasks() <= tasks;
                if (fits) {
                    placed += job.spec().tasks();
                    running.add(
                            new Allocation(
                                    job.job(),
                                    job.spec(),
                                    start.members(),
                                    start.claims(),
                                    NOW_MILLIS - random.nextInt(1_000_000),
                                    NOW_MILLIS - 1_000,
                                    start.expectedEndMillis(),
                                    false));
                }
            }
        }
        return running;
    }
}
