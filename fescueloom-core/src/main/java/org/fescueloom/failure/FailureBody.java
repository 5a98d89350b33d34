package org.fescueloom.failure;

import java.util.Objects;

/**
 * Holds the JSON body of an HTTP response that reports a failure.
 *
 * @param error the type of the failure, not null
 * @param outcome whether the request ran, not null
 * @param detail a description for people, not null
 */
public record FailureBody(FailureType error, Outcome outcome, String detail) {
    /** Checks that no component is null. */
    public FailureBody {
        Objects.requireNonNull(error, "error");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Creates the body that reports a failure.
     *
     * @param failure the failure, not null
     * @return the body, never null
     */
    public static FailureBody of(SchedulerException failure) {
        return new FailureBody(
                failure.type(), failure.type().outcome(), String.valueOf(failure.getMessage()));
    }
}
