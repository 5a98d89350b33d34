package org.fescueloom.request;

/**
 * Limits retries to a fraction of the recent successes.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {
    private final double share;
    private final double capacity;

    /** The number of unused retries; not always a whole number. */
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param share the number of retries that each success adds, from 0 to 1
     * @param capacity the maximum number of unused retries, at least 1
     * @throws IllegalArgumentException if a value is out of its range
     */
    public RetryBudget(double share, double capacity) {
        // Negated conditions also reject NaN.
        if (!(share >= 0 && share <= 1) || !(capacity >= 1)) {
            throw new IllegalArgumentException(
                    "share must be from 0 to 1 and capacity at least 1: "
                            + share
                            + ", "
                            + capacity);
        }
        this.share = share;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Adds the share of one successful request to the budget. */
    public void recordSuccess() {
        tokens = Math.min(capacity, tokens + share);
    }

    /**
     * Spends one retry.
     *
     * @return false if less than one retry is left; the budget is then unchanged
     */
    public boolean trySpend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
