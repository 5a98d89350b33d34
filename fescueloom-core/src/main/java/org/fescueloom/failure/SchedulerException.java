package org.fescueloom.failure;

import java.util.Objects;

/** Reports a failure of a known type. Failed futures complete exceptionally with this exception. */
public class SchedulerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final FailureType type;
    private final long retryAfterMillis;

    /**
     * Creates a failure without a time for a retry.
     *
     * @param type the type, not null
     * @param detail a description for people, not null
     */
    public SchedulerException(FailureType type, String detail) {
        this(type, detail, 0L, null);
    }

    /**
     * Creates a failure with a time for a retry.
     *
     * @param type the type, not null
     * @param detail a description for people, not null
     * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; 0 for none
     */
    public SchedulerException(FailureType type, String detail, long retryAfterMillis) {
        this(type, detail, retryAfterMillis, null);
    }

    /**
     * Creates a failure with its cause.
     *
     * @param type the type, not null
     * @param detail a description for people, not null
     * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; 0 for none
     * @param cause the cause, may be null
     * @throws IllegalArgumentException if {@code retryAfterMillis} is negative
     */
    public SchedulerException(
            FailureType type, String detail, long retryAfterMillis, Throwable cause) {
        super(Objects.requireNonNull(detail, "detail"), cause);
        if (retryAfterMillis < 0) {
            throw new IllegalArgumentException(
                    "retryAfterMillis must not be negative: " + retryAfterMillis);
        }
        this.type = Objects.requireNonNull(type, "type");
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Returns the type of this failure.
     *
     * @return the type, never null
     */
    public FailureType type() {
        return type;
    }

    /**
     * Returns the time after which a retry may succeed.
     *
     * @return the time in milliseconds, 0 for none
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
