package org.fescueloom.daemon.jobs;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueloom.placement.BrokenGuarantee;
import org.fescueloom.placement.Plan;
import org.fescueloom.placement.RejectJob;
import org.fescueloom.placement.ReserveGang;
import org.fescueloom.placement.WaitForCapacity;

/**
 * Holds the results of the last plan that reports show: why each waiting job waits, and which
 * guarantees are broken. Safe for use by several threads.
 */
public final class PlanBoard {
    private volatile Map<String, WaitExplanation> explanationsByJob = Map.of();
    private volatile List<BrokenGuarantee> brokenGuarantees = List.of();

    /** Creates a board without results. */
    public PlanBoard() {}

    /**
     * Replaces the results with those of a plan.
     *
     * @param plan the plan, not null
     */
    public void update(Plan plan) {
        Map<String, WaitExplanation> explanations = new HashMap<>();
        plan.decisions(WaitForCapacity.class)
                .forEach(
                        wait ->
                                explanations.put(
                                        wait.job(),
                                        new WaitExplanation(
                                                wait.reason().text(), wait.description())));
        plan.decisions(RejectJob.class)
                .forEach(
                        rejection ->
                                explanations.put(
                                        rejection.job(),
                                        new WaitExplanation(
                                                "cannot-run",
                                                "no set of known workers could hold the job;"
                                                        + " largest shape that fits: "
                                                        + rejection.largestShape())));
        plan.decisions(ReserveGang.class)
                .forEach(
                        reservation ->
                                explanations.computeIfPresent(
                                        reservation.job(),
                                        (job, explanation) ->
                                                explanation.withReservation(reservation)));
        explanationsByJob = Map.copyOf(explanations);
        brokenGuarantees = plan.brokenGuarantees();
    }

    /**
     * Finds the reason why a job waits, as of the last plan.
     *
     * @param job the identifier of the job, not null
     * @return the explanation, or empty if the last plan did not leave the job waiting
     */
    public Optional<WaitExplanation> findExplanation(String job) {
        return Optional.ofNullable(explanationsByJob.get(job));
    }

    /**
     * Returns the guarantees that were broken at the last plan.
     *
     * @return the broken guarantees, never null
     */
    public List<BrokenGuarantee> brokenGuarantees() {
        return brokenGuarantees;
    }
}
