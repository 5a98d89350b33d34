package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;

/** Makes the failures of calls between entries. */
final class CallFailures {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private CallFailures() {}

    /** Says that the caller waits no longer, before anything was done. */
    static SchedulerException deadlinePassed() {
        return notRun(FailureType.DEADLINE_PASSED, "the time of the caller is over");
    }

    /** Says that this entry reaches nobody. */
    static SchedulerException cutOff() {
        return notRun(FailureType.CUT_OFF, "neither the log service nor another entry answers");
    }

    /** Says that the log service has surely stored nothing. */
    static SchedulerException logUnavailable(String detail) {
        return notRun(FailureType.LOG_UNAVAILABLE, detail);
    }

    /** Says that the log service may have stored something, or may still do so. */
    static SchedulerException logUndecided(String detail) {
        return new SchedulerException(FailureType.LOG_UNDECIDED, detail);
    }

    /** Reads the failure that another entry has answered with. */
    static SchedulerException fromAnswer(HttpAnswer answer) {
        FailureBody failure = body(answer);
        return notRun(failure.error(), failure.detail());
    }

    /** Returns what it means that another entry has given no answer to a call that may act. */
    static SchedulerException noAnswer(Throwable error) {
        Throwable reason = Failures.causeOf(error);
        String detail = "another entry has not answered: " + reason;
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
