package org.fescueloom.cli;

import java.util.Objects;

/** Signals that a command failed; has the exit status and the message for the user. */
public class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitStatus status;

    /**
     * Creates an exception.
     *
     * @param status the exit status of the tool, not null
     * @param message the message for the user, not null
     */
    public CommandException(ExitStatus status, String message) {
        super(Objects.requireNonNull(message, "message"));
        this.status = Objects.requireNonNull(status, "status");
    }

    /**
     * Returns the exit status of the tool.
     *
     * @return the exit status, never null
     */
    public ExitStatus status() {
        return status;
    }
}
