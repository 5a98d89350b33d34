package org.fescueloom.failure;

import java.util.Objects;
import java.util.concurrent.CompletionException;

/** Looks into the errors of failed futures. */
public final class Failures {
    private Failures() {}

    /**
     * Returns the error that made a future fail, without the wrappers that dependent futures add.
     *
     * @param error the error, not null
     * @return the first cause that is no {@link CompletionException}; the innermost wrapper if it
     *     has no cause; never null
     */
    public static Throwable causeOf(Throwable error) {
        Throwable cause = Objects.requireNonNull(error, "error");
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    /**
     * Returns the failure behind an error.
     *
     * @param error the error, not null
     * @return the failure; one of type {@code INTERNAL} for an error of another kind
     */
    public static SchedulerException of(Throwable error) {
        return of(error, FailureType.INTERNAL);
    }

    /**
     * Returns the failure behind an error.
     *
     * @param error the error, not null
     * @param otherwise the type that an error of another kind stands for, not null
     * @return the failure, never null
     */
    public static SchedulerException of(Throwable error, FailureType otherwise) {
        Throwable cause = causeOf(error);
        return cause instanceof SchedulerException failure
                ? failure
                : new SchedulerException(otherwise, String.valueOf(cause), 0L, cause);
    }

    /**
     * Returns the type of the failure behind an error.
     *
     * @param error the error, not null
     * @return the type; {@code INTERNAL} for an error of another kind
     */
    public static FailureType typeOf(Throwable error) {
        return of(error).type();
    }
}
