package org.fescueloom.cli;

import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Outcome;

/** Lists the exit statuses of the tool, by which scripts distinguish failures. */
public enum ExitStatus {
    /** The command succeeded. */
    OK(0, "done"),
    /** An internal fault of the tool. */
    INTERNAL(1, "internal fault of the tool"),
    /** The arguments or a local file are invalid; nothing was sent. */
    USAGE(2, "the arguments or a local file are invalid; nothing was sent"),
    /** No entry responded. */
    NO_ENTRY(3, "no entry could be reached"),
    /** The entry rejected the input and ran nothing; it would reject the same input again. */
    REFUSED(4, "the entry rejected the input; nothing ran"),
    /** No job, request, zone, service class or customer of this name exists. */
    NOT_FOUND(5, "no job, request, zone, class or customer of this name"),
    /** The identifier is in use for something else, or the version is not the current one. */
    CONFLICT(6, "the identifier is in use or the version is outdated; read again, then decide"),
    /** The system did not run the request; the same command may succeed later. */
    UNAVAILABLE(7, "not run; the same command may succeed later"),
    /** The request or job ran and failed. */
    FAILED(8, "the request or job ran and failed"),
    /** It is unknown whether the request ran or took effect. */
    UNKNOWN(9, "unknown whether the request ran or took effect"),
    /** The change is published, but at least one process has not confirmed it yet. */
    NOT_IN_FORCE(10, "published, but at least one process has not confirmed it yet"),
    /** The tool cannot read the response of an entry. */
    INVALID_RESPONSE(11, "the tool cannot read the response of an entry");

    private final int code;
    private final String meaning;

    ExitStatus(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process as a number.
     *
     * @return a number from 0 to 127
     */
    public int code() {
        return code;
    }

    /**
     * Returns the meaning of the status, for the help text.
     *
     * @return the meaning, never null
     */
    public String meaning() {
        return meaning;
    }

    /**
     * Returns the exit status for a failure that an entry reports.
     *
     * @param type the type of the failure, not null
     * @return the exit status, never null
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
