package org.fescueloom.request;

import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/**
 * Identifies one attempt at a request.
 *
 * <p>An issuer numbers its attempts in order, so that an agent which has forgotten old attempts can
 * still tell that an attempt is old.
 *
 * @param issuer the entry that made the attempt, of letters, digits, hyphens and underscores
 * @param incarnation the incarnation of the entry, not negative
 * @param sequence the number of the attempt under this incarnation, not negative
 */
public record AttemptId(String issuer, long incarnation, long sequence) {
    private static final int MAX_ISSUER_LENGTH = 128;

    /** Checks the form of the issuer and the ranges of the numbers. */
    public AttemptId {
        Objects.requireNonNull(issuer, "issuer");
        if (issuer.length() > MAX_ISSUER_LENGTH || !issuer.matches("[A-Za-z0-9_-]+")) {
            throw malformed("the issuer of an attempt must be a plain name");
        }
        if (incarnation < 0 || sequence < 0) {
            throw malformed("the numbers of an attempt must not be negative");
        }
    }

    /**
     * Reads the text form.
     *
     * @param text the text, "issuer.incarnation.sequence"; null is refused
     * @return the identifier, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the text has another form
     */
    public static AttemptId parse(String text) {
        String[] parts = text == null ? new String[0] : text.split("\\.", -1);
        if (parts.length != 3) {
            throw malformed("an attempt is named issuer.incarnation.sequence");
        }
        try {
            return new AttemptId(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
        } catch (NumberFormatException e) {
            throw malformed("the incarnation and the sequence of an attempt must be numbers");
        }
    }

    /**
     * Returns the issuer with its incarnation.
     *
     * @return the text, never null
     */
    public String issuerIncarnation() {
        return issuer + "." + incarnation;
    }

    /**
     * Returns the text form, which {@link #parse} reads.
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
