package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;

/**
 * Holds the state of one task in the form in which the job log stores it. Immutable.
 *
 * <p>The JSON form is an array of the components in this order, which is shorter than an object
 * with names: a wide job has many tasks.
 *
 * @param phase the phase of the task; null counts as {@code WAITING}
 * @param run the number of the latest run; 0 before the first
 * @param placement the upstream on which the latest run may exist; null unless the phase is {@code
 *     ASSIGNED}
 * @param failures the number of runs that failed
 * @param checkpoint the newest checkpoint; empty if there is none; null counts as empty
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"phase", "run", "placement", "failures", "checkpoint"})
public record TaskRecord(
        TaskPhase phase, int run, Placement placement, int failures, String checkpoint) {
    /** The record of a task that was never assigned. */
    public static final TaskRecord NEW = new TaskRecord(TaskPhase.WAITING, 0, null, 0, "");

    /** Fills in the components that a stored record leaves out. */
    public TaskRecord {
        phase = phase == null ? TaskPhase.WAITING : phase;
        checkpoint = Objects.requireNonNullElse(checkpoint, "");
    }

    /**
     * Returns this record with the next run.
     *
     * @param number the number of the run, above that of the latest one
     * @param where the upstream of the run, not null
     * @return the changed record, never null
     * @throws IllegalStateException if the task does not wait, or the number is not above that of
     *     the latest run
     */
    public TaskRecord withRun(int number, Placement where) {
        Objects.requireNonNull(where, "where");
        if (phase != TaskPhase.WAITING || number <= run) {
            throw new IllegalStateException(
                    "cannot assign run "
                            + number
                            + ": the task must wait, and the number must be above that of the"
                            + " latest run, but the record is "
                            + this);
        }
        return new TaskRecord(
                phase.next(TaskEvent.ASSIGNED).target(), number, where, failures, checkpoint);
    }

    /**
     * Returns this record with the end of the latest run; unchanged unless the task is assigned.
     *
     * @param end the end of the run, not null
     * @param newCheckpoint the last checkpoint of the run; empty if there is none
     * @return the changed record, never null
     */
    public TaskRecord withEnd(RunEnd end, String newCheckpoint) {
        var transition = phase.next(end.event());
        if (transition.ignored()) {
            return this;
        }
        // The only action of the state chart is to count the failure.
        int failed = transition.action().isPresent() ? failures + 1 : failures;
        String latestCheckpoint = newCheckpoint.isEmpty() ? checkpoint : newCheckpoint;
        return new TaskRecord(transition.target(), run, null, failed, latestCheckpoint);
    }

    /**
     * Returns the record of an endless task, which is never done. Records of earlier versions may
     * say that it is.
     *
     * @return this record; if the task is done, a record with which the task waits for its next run
     */
    TaskRecord notDone() {
        return phase == TaskPhase.DONE
                ? new TaskRecord(TaskPhase.WAITING, run, null, failures, checkpoint)
                : this;
    }

    /**
     * Returns this record with a newer checkpoint of the running task.
     *
     * @param newCheckpoint the checkpoint; an empty one changes nothing
     * @return the changed record, never null
     */
    public TaskRecord withCheckpoint(String newCheckpoint) {
        return newCheckpoint.isEmpty()
                ? this
                : new TaskRecord(phase, run, placement, failures, newCheckpoint);
    }
}
