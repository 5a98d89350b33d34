package org.fescueloom.request;

import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/**
 * Identifies one attempt at a request.
 *
 * <p>An issuer numbers its attempts in ascending order. An agent that no longer remembers old
 * attempts can therefore still recognize an old attempt by its number.
 *
 * @param issuer the entry that made the attempt; 1 to 128 letters, digits, hyphens and underscores
 * @param incarnation the incarnation of the entry, which grows with each start of the entry, not
 *     negative
 * @param sequence the number of the attempt within this incarnation, not negative
 */
public record AttemptId(String issuer, long incarnation, long sequence) {
    private static final int MAX_ISSUER_LENGTH = 128;

    /** Checks the format of the issuer and the ranges of the numbers. */
    public AttemptId {
        Objects.requireNonNull(issuer, "issuer");
        if (issuer.length() > MAX_ISSUER_LENGTH || !issuer.matches("[A-Za-z0-9_-]+")) {
            throw malformed(
                    "the issuer of an attempt must be 1 to 128 letters, digits, hyphens and"
                            + " underscores: "
                            + issuer);
        }
        if (incarnation < 0 || sequence < 0) {
            throw malformed(
                    "the incarnation and the sequence of an attempt must not be negative: "
                            + incarnation
                            + ", "
                            + sequence);
        }
    }

    /**
     * Parses the text form of an identifier.
     *
     * @param text the text, "issuer.incarnation.sequence"; null is rejected as malformed
     * @return the identifier, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the text does not have this
     *     form
     */
    public static AttemptId parse(String text) {
        String[] parts = text == null ? new String[0] : text.split("\\.", -1);
        if (parts.length != 3) {
            throw malformed(
                    "an attempt identifier must have the form issuer.incarnation.sequence: "
                            + text);
        }
        try {
            return new AttemptId(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
        } catch (NumberFormatException e) {
            throw malformed(
                    "the incarnation and the sequence of an attempt must be numbers: " + text);
        }
    }

    /**
     * Returns the issuer and its incarnation, "issuer.incarnation".
     *
     * @return the text, never null
     */
    public String issuerIncarnation() {
        return issuer + "." + incarnation;
    }

    /**
     * Returns the text form that {@link #parse} accepts.
     *
     * @return the text, never null
     */
    @Override
    public String toString() {
        return issuerIncarnation() + "." + sequence;
    }

    private static SchedulerException malformed(String detail) {
        return new SchedulerException(FailureType.MALFORMED_INPUT, detail);
    }
}
