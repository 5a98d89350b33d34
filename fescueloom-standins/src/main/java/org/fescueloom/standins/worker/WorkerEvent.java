package org.fescueloom.standins.worker;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import java.util.Objects;

/**
 * Records one event in the life cycle of a lease or of a task on a worker.
 *
 * @param timeMillis the time of the event, in milliseconds since the epoch
 * @param kind the kind of the event, not null
 * @param lease the identifier of the lease, not null
 * @param job the identifier of the gang job that the lease is for; null if the worker refused a
 *     call because of its token
 * @param attempt the identifier of the gang attempt that the lease is for; null if the worker
 *     refused a call because of its token
 * @param task the identifier of the task; null if the event concerns the lease as a whole
 * @param token the planner epoch that the call carried as its fencing token; -1 for none
 */
public record WorkerEvent(
        long timeMillis,
        Kind kind,
        String lease,
        String job,
        String attempt,
        String task,
        long token) {
    /** Checks that the kind and the lease are not null. */
    public WorkerEvent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(lease, "lease");
    }

    /** Lists the kinds of events. */
    public enum Kind {
        /** A lease was granted. */
        LEASE_GRANTED,
        /** A call was refused: the token was stale, or the lease could not be granted. */
        LEASE_REFUSED,
        /** A lease was released by a call. */
        LEASE_RELEASED,
        /** A lease ended because it was not renewed in time. */
        LEASE_LAPSED,
        /** A task started to run. */
        TASK_STARTED,
        /** A fault discarded the start of a task. */
        TASK_START_LOST,
        /** A task succeeded. */
        TASK_SUCCEEDED,
        /** A task failed. */
        TASK_FAILED,
        /** A task was stopped. */
        TASK_STOPPED;

        /**
         * Returns the JSON value of this kind.
         *
         * @return the name in lower case with hyphens, never null
         */
        @JsonValue
        public String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
