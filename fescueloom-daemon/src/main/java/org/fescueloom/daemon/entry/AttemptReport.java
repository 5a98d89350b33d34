package org.fescueloom.daemon.entry;

import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;

/**
 * Tells what an entry has learned of an attempt.
 *
 * @param kind the kind of report, not null
 * @param response the whole answer; null in all kinds but {@code ANSWERED}
 * @param failure the failure; null in kinds {@code ANSWERED} and {@code RUNNING}
 */
record AttemptReport(Kind kind, AttemptAnswer response, SchedulerException failure) {
    /** Checks that the kind is given. */
    AttemptReport {
        Objects.requireNonNull(kind, "kind");
    }

    /** Names the kinds of reports. */
    enum Kind {
        /** The whole answer of the upstream is here. */
        ANSWERED,
        /** The agent reports a failure whose outcome is binding. */
        FAILED,
        /** The agent says that the attempt waits or runs. */
        RUNNING,
        /** The connection broke or fell silent; the agent must be asked again. */
        LOST,
        /** Nothing listens at the address of the agent. */
        REFUSED
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

    static AttemptReport lost(String detail) {
        return new AttemptReport(
                Kind.LOST, null, new SchedulerException(FailureType.OUTCOME_UNKNOWN, detail));
    }

    static AttemptReport refused(String detail) {
        return new AttemptReport(
                Kind.REFUSED, null, new SchedulerException(FailureType.OUTCOME_UNKNOWN, detail));
    }
}
