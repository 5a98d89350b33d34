package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.GuaranteedShape;
import org.fescueloom.job.JobSpec;

/** Creates random small clusters: workers of different sizes, guarantees and jobs. */
final class SmallClusters {
    static final String[] CUSTOMERS = {"harbor", "parks", "yard"};
    private static final int CPUS_PER_ACCELERATOR = 4;

    private SmallClusters() {}

    static List<WorkerView> workers(Random random) {
        List<WorkerView> workers = new ArrayList<>();
        int count = 2 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            int rack = random.nextInt(3);
            int accelerators = 1 + random.nextInt(4);
            workers.add(
                    new WorkerView(
                            "w" + i,
                            "z" + rack % 2,
                            "r" + rack,
                            i,
                            accelerators,
                            accelerators * CPUS_PER_ACCELERATOR,
                            1_000,
                            WorkerCondition.USABLE));
        }
        return workers;
    }

    /** Returns customers with random guarantees that can all be laid out on the workers. */
    static List<CustomerPolicy> customers(Random random, List<WorkerView> workers) {
        List<CustomerPolicy> customers = new ArrayList<>();
        for (String name : CUSTOMERS) {
            List<GuaranteedShape> shapes = new ArrayList<>();
            for (int i = random.nextInt(3); i >= 0; i--) {
                shapes.add(
                        new GuaranteedShape(
                                1 + random.nextInt(2), 1 + random.nextInt(4), adjacency(random)));
            }
            List<CustomerPolicy> extended = new ArrayList<>(customers);
            extended.add(new CustomerPolicy(name, 0.1, shapes));
            if (GuaranteeChecker.check(extended, workers).isEmpty()) {
                customers = extended;
            } else {
                customers.add(new CustomerPolicy(name, 0.1, null));
            }
        }
        return customers;
    }

    static Adjacency adjacency(Random random) {
        return Adjacency.values()[random.nextInt(Adjacency.values().length)];
    }

    static WaitingJob job(Random random, String id, long acceptedAtMillis) {
        int accelerators = random.nextInt(4);
        int tasks = 1 + random.nextInt(3);
        JobSpec spec =
                new JobSpec(
                        CUSTOMERS[random.nextInt(CUSTOMERS.length)],
                        "weave",
                        tasks,
                        accelerators,
                        adjacency(random),
                        random.nextInt(2 * CPUS_PER_ACCELERATOR),
                        1,
                        60,
                        random.nextBoolean(),
                        random.nextInt(8) == 0,
                        "run");
        return new WaitingJob(id, spec, acceptedAtMillis, 0, 60_000, null);
    }

    /** Returns a job that needs exactly the accelerators of one guaranteed block. */
    static WaitingJob jobForBlock(GuaranteedBlock block, String id, long acceptedAtMillis) {
        boolean onOneWorker = block.adjacency() == Adjacency.WORKER;
        JobSpec spec =
                new JobSpec(
                        block.customer(),
                        "weave",
                        onOneWorker ? 1 : block.accelerators(),
                        onOneWorker ? block.accelerators() : 1,
                        block.adjacency(),
                        1,
                        1,
                        60,
                        true,
                        false,
                        "run");
        return new WaitingJob(id, spec, acceptedAtMillis, 0, 60_000, null);
    }
}
