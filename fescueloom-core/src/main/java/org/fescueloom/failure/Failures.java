package org.fescueloom.failure;

import java.util.Objects;
import java.util.concurrent.CompletionException;

/** Finds the failure behind the exception of a failed future. */
public final class Failures {
    private Failures() {}

    /**
     * Returns the original exception of a failed future, without the {@link CompletionException}
     * wrappers that dependent futures add.
     *
     * @param error the exception, not null
     * @return the first cause that is not a {@link CompletionException}; the innermost wrapper if
     *     it has no cause; never null
     */
    public static Throwable causeOf(Throwable error) {
        Throwable cause = Objects.requireNonNull(error, "error");
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    /**
     * Returns the failure behind an exception.
     *
     * @param error the exception, not null
     * @return the failure, never null; a new one of type {@code INTERNAL} if the exception is not a
     *     {@link SchedulerException}
     */
    public static SchedulerException of(Throwable error) {
        return of(error, FailureType.INTERNAL);
    }

    /**
     * Returns the failure behind an exception.
     *
     * @param error the exception, not null
     * @param fallbackType the type to use if the exception is not a {@link SchedulerException}, not
     *     null
     * @return the failure, never null
     */
    public static SchedulerException of(Throwable error, FailureType fallbackType) {
        Throwable cause = causeOf(error);
        return cause instanceof SchedulerException failure
                ? failure
                : new SchedulerException(fallbackType, String.valueOf(cause), 0L, cause);
    }

    /**
     * Returns the type of the failure behind an exception.
     *
     * @param error the exception, not null
     * @return the type, never null; {@code INTERNAL} if the exception is not a {@link
     *     SchedulerException}
     */
    public static FailureType typeOf(Throwable error) {
        return of(error).type();
    }
}
