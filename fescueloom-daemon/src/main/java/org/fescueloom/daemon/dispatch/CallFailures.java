package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;

/** Creates the failures of calls to the log service and to other entries. */
final class CallFailures {
    /** Time after which a caller may repeat a failed call. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private CallFailures() {}

    /** Returns the failure of a call whose caller stopped waiting before anything was done. */
    static SchedulerException deadlinePassed() {
        return withRetryAfter(FailureType.DEADLINE_PASSED, "the deadline of the call has passed");
    }

    /**
     * Returns the failure of a call to an entry that reaches neither the log service nor any other
     * entry.
     */
    static SchedulerException cutOff() {
        return withRetryAfter(
                FailureType.CUT_OFF, "neither the log service nor any other entry responds");
    }

    /** Returns the failure of an append that has certainly stored nothing. */
    static SchedulerException logUnavailable(String detail) {
        return withRetryAfter(FailureType.LOG_UNAVAILABLE, detail);
    }

    /** Returns the failure of an append that may have been or may still be executed. */
    static SchedulerException logUndecided(String detail) {
        return new SchedulerException(FailureType.LOG_UNDECIDED, detail);
    }

    /** Returns the failure that the response of another entry reports. */
    static SchedulerException fromResponse(HttpClientResponse response) {
        FailureBody failure = body(response);
        return withRetryAfter(failure.error(), failure.detail());
    }

    /**
     * Returns the failure of a call to which another entry has not responded. If the connection was
     * refused, the call has had no effect; otherwise its outcome is unknown.
     */
    static SchedulerException noResponse(Throwable error) {
        Throwable reason = Failures.causeOf(error);
        String detail = "another entry has not responded: " + reason;
        return reason instanceof ConnectException ? logUnavailable(detail) : logUndecided(detail);
    }

    private static SchedulerException withRetryAfter(FailureType type, String detail) {
        return new SchedulerException(type, detail, RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the failure in a response; a response without a readable failure leaves the outcome
     * unknown.
     */
    private static FailureBody body(HttpClientResponse response) {
        try {
            return response.read(FailureBody.class);
        } catch (SchedulerException e) {
            return new FailureBody(
                    FailureType.OUTCOME_UNKNOWN,
                    Outcome.UNKNOWN,
                    "response without a readable failure, status " + response.status());
        }
    }
}
