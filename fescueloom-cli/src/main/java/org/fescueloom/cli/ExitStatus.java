package org.fescueloom.cli;

import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Outcome;

/** Names the exit statuses of the tool, so that scripts can tell failures apart. */
public enum ExitStatus {
    /** Done. */
    OK(0, "done"),
    /** The tool met a fault of its own. */
    INTERNAL(1, "the tool met a fault of its own"),
    /** The arguments or a local file cannot be used; nothing was sent. */
    USAGE(2, "the arguments or a local file cannot be used; nothing was sent"),
    /** No entry could be reached. */
    NO_ENTRY(3, "no entry could be reached"),
    /** The entry refused the input; the same call will be refused again. */
    REFUSED(4, "the entry refused the input; nothing ran"),
    /** Nothing of this name is known. */
    NOT_FOUND(5, "no job, request, zone, class or customer of this name"),
    /** The identifier was used for something else, or the version is no longer the current one. */
    CONFLICT(6, "the identifier or the version is taken; read again, then decide"),
    /** Not run for now; the same call may succeed later. */
    UNAVAILABLE(7, "not run for now; the same call may succeed later"),
    /** It ran and failed. */
    FAILED(8, "it ran and failed"),
    /** Whether it ran is not known. */
    UNKNOWN(9, "whether it ran or took effect is not known"),
    /** The change is published, but some process has not confirmed it yet. */
    NOT_IN_FORCE(10, "published, but some process has not confirmed it yet"),
    /** An entry answered with something that the tool cannot read. */
    INVALID_RESPONSE(11, "an entry answered with something that the tool cannot read");

    private final int code;
    private final String meaning;

    ExitStatus(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the number that the process ends with.
     *
     * @return a number from 0 to 127
     */
    public int code() {
        return code;
    }

    /**
     * Returns what the status means, for the help text.
     *
     * @return the meaning, never null
     */
    public String meaning() {
        return meaning;
    }

    /**
     * Returns the status for a failure that an entry reports.
     *
     * @param type the type of the failure, not null
     * @return the status, never null
     */
    public static ExitStatus of(FailureType type) {
        if (type.outcome() == Outcome.UNKNOWN) {
            return UNKNOWN;
        }
        if (type.outcome() == Outcome.RAN) {
            return FAILED;
        }
        return switch (type.status()) {
            case 404 -> NOT_FOUND;
            case 409, 412 -> CONFLICT;
            case 429, 500, 503 -> UNAVAILABLE;
            default -> REFUSED;
        };
    }
}
