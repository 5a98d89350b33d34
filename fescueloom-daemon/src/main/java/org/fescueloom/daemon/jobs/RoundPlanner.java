package org.fescueloom.daemon.jobs;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.placement.Plan;
import org.fescueloom.placement.PlanInput;
import org.fescueloom.placement.Planner;

/**
 * Runs single planning rounds on the current state of this process, and stores the results on the
 * {@link PlanBoard}.
 */
public final class RoundPlanner {
    private final ClusterFacade cluster;
    private final JobLedger ledger;
    private final PlanInputBuilder inputs;
    private final Planner planner;
    private final PlanBoard board;
    private final Metrics metrics;
    private final RoundTrigger trigger = new RoundTrigger();

    /**
     * Creates a planner of rounds.
     *
     * @param cluster gives the workers and the configuration, not null
     * @param ledger holds the jobs, not null
     * @param inputs builds the input of a round, not null
     * @param planner makes the decisions, not null
     * @param board receives the results of each plan, not null
     * @param metrics measures the duration of the rounds, not null
     */
    public RoundPlanner(
            ClusterFacade cluster,
            JobLedger ledger,
            PlanInputBuilder inputs,
            Planner planner,
            PlanBoard board,
            Metrics metrics) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.inputs = Objects.requireNonNull(inputs, "inputs");
        this.planner = Objects.requireNonNull(planner, "planner");
        this.board = Objects.requireNonNull(board, "board");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Runs a planning round if {@link RoundTrigger} finds that one is due.
     *
     * @param runner gives the gangs that are being started or stopped and the start backoffs, not
     *     null
     * @return the plan, or empty if no round is due
     */
    public Optional<Plan> planIfDue(GangRunner runner) {
        boolean due =
                trigger.beginRoundIfDue(
                        ledger,
                        cluster.workers(),
                        cluster.configuration(),
                        runner,
                        System.currentTimeMillis());
        return due ? Optional.of(plan(runner)) : Optional.empty();
    }

    /**
     * Runs a planning round.
     *
     * @param runner gives the gangs that are being started or stopped and the start backoffs, not
     *     null
     * @return the plan, never null
     */
    public Plan plan(GangRunner runner) {
        Map<String, GangPlaced> startingGangs = runner.startingGangs();
        // The jobs in transition whose gangs are not being started are being stopped.
        Set<String> stoppingJobs = new HashSet<>(runner.jobsInTransition());
        stoppingJobs.removeAll(startingGangs.keySet());
        PlanInput input =
                ledger.read(
                        fold ->
                                inputs.build(
                                        fold,
                                        cluster.workers(),
                                        cluster.configuration(),
                                        runner.startBackoffs(),
                                        startingGangs,
                                        stoppingJobs,
                                        System.currentTimeMillis()));
        Plan plan;
        try (var ignored = metrics.timer("planner.round").time()) {
            plan = planner.plan(input);
        }
        board.update(plan);
        return plan;
    }
}
