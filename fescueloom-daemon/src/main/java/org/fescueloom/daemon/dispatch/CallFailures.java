package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;

/** Creates the failures of calls to the log service and between entries. */
final class CallFailures {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private CallFailures() {}

    /** Returns the failure of a call whose caller stopped waiting before anything was done. */
    static SchedulerException deadlinePassed() {
        return notRun(FailureType.DEADLINE_PASSED, "the deadline of the call has passed");
    }

    /** Returns the failure of a call to an entry that is cut off. */
    static SchedulerException cutOff() {
        return notRun(FailureType.CUT_OFF, "neither the log service nor any other entry responds");
    }

    /** Returns the failure of an append that has certainly stored nothing. */
    static SchedulerException logUnavailable(String detail) {
        return notRun(FailureType.LOG_UNAVAILABLE, detail);
    }

    /** Returns the failure of an append that may have been or may still be executed. */
    static SchedulerException logUndecided(String detail) {
        return new SchedulerException(FailureType.LOG_UNDECIDED, detail);
    }

    /** Returns the failure that another entry has returned. */
    static SchedulerException fromAnswer(HttpAnswer answer) {
        FailureBody failure = body(answer);
        return notRun(failure.error(), failure.detail());
    }

    /**
     * Returns the failure of a call to which another entry has not responded. Unless the connection
     * was refused, the call may have had an effect.
     */
    static SchedulerException noAnswer(Throwable error) {
        Throwable reason = Failures.causeOf(error);
        String detail = "another entry has not responded: " + reason;
        return reason instanceof ConnectException ? logUnavailable(detail) : logUndecided(detail);
    }

    private static SchedulerException notRun(FailureType type, String detail) {
        return new SchedulerException(type, detail, RETRY_AFTER_MILLIS);
    }

    private static FailureBody body(HttpAnswer answer) {
        try {
            return answer.read(FailureBody.class);
        } catch (SchedulerException e) {
            return new FailureBody(
                    FailureType.OUTCOME_UNKNOWN, Outcome.UNKNOWN, "status " + answer.status());
        }
    }
}
