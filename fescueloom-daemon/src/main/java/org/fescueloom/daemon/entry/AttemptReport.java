package org.fescueloom.daemon.entry;

import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;

/**
 * Holds the result of a call to an agent that sends an attempt or asks for its state.
 *
 * @param kind the kind of report, not null
 * @param response the complete response of the upstream; null in all kinds except {@code ANSWERED}
 * @param failure the failure; null in the kinds {@code ANSWERED} and {@code RUNNING}
 */
record AttemptReport(Kind kind, AttemptAnswer response, SchedulerException failure) {
    /** Checks that the kind is not null. */
    AttemptReport {
        Objects.requireNonNull(kind, "kind");
    }

    /** Enumerates the kinds of reports. */
    enum Kind {
        /** The complete response of the upstream has arrived. */
        ANSWERED,
        /** The attempt has failed, and the outcome that the failure states is final. */
        FAILED,
        /** The agent reports that the attempt is queued or running. */
        RUNNING,
        /**
         * The call failed, timed out or returned no usable response, so the agent must be called
         * again. As the result of an {@link AttemptResolver}: the outcome cannot be determined.
         */
        NO_RESPONSE,
        /** The call, which asked for the state of the attempt, could not connect to the agent. */
        NOT_CONNECTED
    }

    static AttemptReport answered(AttemptAnswer response) {
        return new AttemptReport(Kind.ANSWERED, response, null);
    }

    static AttemptReport running() {
        return new AttemptReport(Kind.RUNNING, null, null);
    }

    static AttemptReport failed(FailureType type, String detail) {
        return failed(new SchedulerException(type, detail));
    }

    static AttemptReport failed(SchedulerException failure) {
        return new AttemptReport(Kind.FAILED, null, failure);
    }

    static AttemptReport noResponse(String detail) {
        return new AttemptReport(
                Kind.NO_RESPONSE,
                null,
                new SchedulerException(FailureType.OUTCOME_UNKNOWN, detail));
    }

    static AttemptReport notConnected(String detail) {
        return new AttemptReport(
                Kind.NOT_CONNECTED,
                null,
                new SchedulerException(FailureType.OUTCOME_UNKNOWN, detail));
    }
}
