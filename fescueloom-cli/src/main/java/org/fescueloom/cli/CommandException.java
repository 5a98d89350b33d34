package org.fescueloom.cli;

import java.util.Objects;

/** Ends a command with a status and a message for a person. */
public class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitStatus status;

    /**
     * Creates the failure.
     *
     * @param status the status to end with, not null
     * @param message the message, not null
     */
    public CommandException(ExitStatus status, String message) {
        super(Objects.requireNonNull(message, "message"));
        this.status = Objects.requireNonNull(status, "status");
    }

    /**
     * Returns the status to end with.
     *
     * @return the status, never null
     */
    public ExitStatus status() {
        return status;
    }
}
