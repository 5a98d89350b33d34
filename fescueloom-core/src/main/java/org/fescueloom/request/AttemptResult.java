package org.fescueloom.request;

/** Classifies the result of an attempt by its effect on the health estimate of the upstream. */
public enum AttemptResult {
    /** The upstream sent a complete response with a status below 500. */
    SUCCESS(1.0),
    /**
     * The attempt did not run, although neither the agent nor the upstream refused the connection:
     * the entry did not send the attempt because it did not obtain the claim of the request
     * identifier, or the agent refused or cancelled the attempt, for example because of load,
     * shutdown or the deadline.
     */
    REFUSED(Double.NaN),
    /**
     * The upstream sent a response with a status of 500 or more or no complete response, or the
     * upstream or its agent failed or could not be reached.
     */
    FAILURE(0.0);

    /**
     * The value that enters the health estimate; NaN if the result does not change the estimate.
     */
    private final double success;

    AttemptResult(double success) {
        this.success = success;
    }

    /**
     * Tests whether the result changes the health estimate of the upstream.
     *
     * @return false for {@link #REFUSED}
     */
    public boolean affectsHealth() {
        return !Double.isNaN(success);
    }

    double success() {
        return success;
    }
}
