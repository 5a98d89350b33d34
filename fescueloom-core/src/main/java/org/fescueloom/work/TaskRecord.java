package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;

/**
 * Tells what became of one task; immutable, and the form in which it is kept.
 *
 * <p>Kept as a list of its parts in this order, because a wide job has many of them.
 *
 * @param phase where the task stands, not null
 * @param run the number of its latest run; 0 before the first
 * @param placement where that run may exist; null unless the phase is {@code ASSIGNED}
 * @param failures how many runs have failed
 * @param checkpoint the newest checkpoint; empty if there is none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"phase", "run", "placement", "failures", "checkpoint"})
public record TaskRecord(
        TaskPhase phase, int run, Placement placement, int failures, String checkpoint) {
    /** A task that was never started. */
    public static final TaskRecord NEW = new TaskRecord(TaskPhase.WAITING, 0, null, 0, "");

    /** Fills in what a record leaves out. */
    public TaskRecord {
        phase = phase == null ? TaskPhase.WAITING : phase;
        checkpoint = Objects.requireNonNullElse(checkpoint, "");
    }

    /**
     * Records the next run.
     *
     * @param number the number of the run, above that of the latest one
     * @param where where it is to run, not null
     * @return the changed record, never null
     */
    public TaskRecord withRun(int number, Placement where) {
        Objects.requireNonNull(where, "where");
        if (phase != TaskPhase.WAITING || number <= run) {
            throw new IllegalStateException("run " + number + " cannot follow " + this);
        }
        return new TaskRecord(
                phase.next(TaskEvent.ASSIGNED).target(), number, where, failures, checkpoint);
    }

    /**
     * Records the end of the latest run; has no effect unless a run is recorded.
     *
     * @param end how it ended, not null
     * @param newCheckpoint the checkpoint that it left; empty if it left none
     * @return the changed record, never null
     */
    public TaskRecord withEnd(RunEnd end, String newCheckpoint) {
        var transition = phase.next(end.event());
        if (transition.ignored()) {
            return this;
        }
        int failed = transition.action().isPresent() ? failures + 1 : failures;
        String kept = newCheckpoint.isEmpty() ? checkpoint : newCheckpoint;
        return new TaskRecord(transition.target(), run, null, failed, kept);
    }

    /**
     * Records a newer checkpoint of the running task.
     *
     * @param newCheckpoint the checkpoint; empty has no effect
     * @return the changed record, never null
     */
    public TaskRecord withCheckpoint(String newCheckpoint) {
        return newCheckpoint.isEmpty()
                ? this
                : new TaskRecord(phase, run, placement, failures, newCheckpoint);
    }
}
