package org.fescueloom.standins.worker;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import java.util.Objects;

/**
 * Records one thing that a worker really did.
 *
 * @param timeMillis when, in milliseconds since the epoch
 * @param kind what, not null
 * @param lease the lease, not null
 * @param job the job of the lease; null if the lease is not known
 * @param attempt the gang attempt of the lease; null if the lease is not known
 * @param task the task; null if the event is about the whole lease
 * @param token the planner epoch of the call; -1 for none
 */
public record WorkerEvent(
        long timeMillis,
        Kind kind,
        String lease,
        String job,
        String attempt,
        String task,
        long token) {
    /** Checks that kind and lease are given. */
    public WorkerEvent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(lease, "lease");
    }

    /** Names what a worker can do. */
    public enum Kind {
        /** A lease was granted. */
        LEASE_GRANTED,
        /** A lease was refused. */
        LEASE_REFUSED,
        /** A lease was released by a call. */
        LEASE_RELEASED,
        /** A lease was not renewed in time. */
        LEASE_LAPSED,
        /** A task started to run. */
        TASK_STARTED,
        /** The start of a task was lost by a fault. */
        TASK_START_LOST,
        /** A task ended with success. */
        TASK_SUCCEEDED,
        /** A task ended with a failure. */
        TASK_FAILED,
        /** A task was stopped. */
        TASK_STOPPED;

        /**
         * Returns the text that stands for this kind in JSON.
         *
         * @return the name in lower case with hyphens, never null
         */
        @JsonValue
        public String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
