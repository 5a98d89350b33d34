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

/** Keeps what the last plan said about each waiting job, for those who ask why it waits. */
public final class PlanBoard {
    private volatile Map<String, WaitExplanation> explanationsByJob = Map.of();
    private volatile List<BrokenGuarantee> brokenGuarantees = List.of();

    /** Creates a board without notes. */
    public PlanBoard() {}

    /**
     * Replaces the notes by those of a plan.
     *
     * @param plan the plan, not null
     */
    public void update(Plan plan) {
        Map<String, WaitExplanation> explanations = new HashMap<>();
        plan.decisions(WaitForCapacity.class)
                .forEach(
                        w ->
                                explanations.put(
                                        w.job(),
                                        new WaitExplanation(w.reason().text(), w.description())));
        plan.decisions(RejectJob.class)
                .forEach(
                        r ->
                                explanations.put(
                                        r.job(),
                                        new WaitExplanation(
                                                "cannot-run",
                                                "no set of known workers could hold it; largest: "
                                                        + r.largestShape())));
        plan.decisions(ReserveGang.class)
                .forEach(
                        r ->
                                explanations.computeIfPresent(
                                        r.job(), (job, note) -> note.withReservation(r)));
        explanationsByJob = Map.copyOf(explanations);
        brokenGuarantees = plan.brokenGuarantees();
    }

    /**
     * Finds what the last plan said about a job.
     *
     * @param job the identifier, not null
     * @return the note, or empty if it said nothing
     */
    public Optional<WaitExplanation> findExplanation(String job) {
        return Optional.ofNullable(explanationsByJob.get(job));
    }

    /**
     * Returns the guarantees that the last plan found broken.
     *
     * @return the guarantees, never null
     */
    public List<BrokenGuarantee> brokenGuarantees() {
        return brokenGuarantees;
    }
}
