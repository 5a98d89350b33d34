package org.fescueloom.request;

/** Tells what an attempt says about the health of its upstream. */
public enum AttemptResult {
    /** The upstream gave a whole answer. */
    SUCCESS(1.0),
    /** The agent refused the attempt for reasons of load, shutdown or deadline. */
    REFUSED(Double.NaN),
    /** The upstream or its agent failed, could not be reached or gave no whole answer. */
    FAILURE(0.0);

    private final double success;

    AttemptResult(double success) {
        this.success = success;
    }

    /**
     * Tells whether the result says something about the health of the upstream.
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
