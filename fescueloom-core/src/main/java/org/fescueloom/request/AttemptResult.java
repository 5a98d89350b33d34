package org.fescueloom.request;

/** Classifies the result of an attempt by its effect on the health estimate of the upstream. */
public enum AttemptResult {
    /** The upstream sent a complete response. */
    SUCCESS(1.0),
    /** The agent refused the attempt because of load, shutdown or the deadline. */
    REFUSED(Double.NaN),
    /** The upstream or its agent failed, could not be reached or sent no complete response. */
    FAILURE(0.0);

    private final double success;

    AttemptResult(double success) {
        this.success = success;
    }

    /**
     * Tests whether the result changes the health estimate of the upstream.
     *
     * @return false for a refusal
     */
    public boolean affectsHealth() {
        return !Double.isNaN(success);
    }

    double success() {
        return success;
    }
}
