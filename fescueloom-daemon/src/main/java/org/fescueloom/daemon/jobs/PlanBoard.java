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
    private volatile Map<String, WaitingNote> notes = Map.of();
    private volatile List<BrokenGuarantee> broken = List.of();

    /** Creates a board without notes. */
    public PlanBoard() {}

    /**
     * Replaces the notes by those of a plan.
     *
     * @param plan the plan, not null
     */
    public void post(Plan plan) {
        Map<String, WaitingNote> fresh = new HashMap<>();
        plan.decisions(WaitForCapacity.class)
                .forEach(
                        w ->
                                fresh.put(
                                        w.job(),
                                        new WaitingNote(w.reason().text(), w.description())));
        plan.decisions(RejectJob.class)
                .forEach(
                        r ->
                                fresh.put(
                                        r.job(),
                                        new WaitingNote(
                                                "cannot-run",
                                                "no set of known workers could hold it; largest: "
                                                        + r.largestShape())));
        plan.decisions(ReserveGang.class)
                .forEach(
                        r ->
                                fresh.computeIfPresent(
                                        r.job(), (job, note) -> note.withReservation(r)));
        notes = Map.copyOf(fresh);
        broken = plan.brokenGuarantees();
    }

    /**
     * Finds what the last plan said about a job.
     *
     * @param job the identifier, not null
     * @return the note, or empty if it said nothing
     */
    public Optional<WaitingNote> note(String job) {
        return Optional.ofNullable(notes.get(job));
    }

    /**
     * Returns the guarantees that the last plan found broken.
     *
     * @return the guarantees, never null
     */
    public List<BrokenGuarantee> broken() {
        return broken;
    }
}
