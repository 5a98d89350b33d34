package org.fescueloom.request;

/**
 * Limits retries to a share of the recent successes.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class RetryBudget {
    private final double share;
    private final double capacity;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param share how many retries each success earns, from 0 to 1
     * @param capacity how many retries can be saved up, at least 1
     * @throws IllegalArgumentException if a value is out of its range
     */
    public RetryBudget(double share, double capacity) {
        if (!(share >= 0 && share <= 1) || !(capacity >= 1)) {
            throw new IllegalArgumentException("share must be 0 to 1, capacity at least 1");
        }
        this.share = share;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Earns a share of a retry for a request that was answered. */
    public void recordSuccess() {
        tokens = Math.min(capacity, tokens + share);
    }

    /**
     * Spends one retry.
     *
     * @return false if none is left; then nothing is spent
     */
    public boolean trySpend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
