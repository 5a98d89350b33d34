package org.fescueloom.daemon.http;

/**
 * Limits an amount that all servers of a process use together. A part of the amount is reserved for
 * each server, so that a load on one server does not lock out the others. Safe for use by several
 * threads.
 */
final class SharedBudget {
    /** The part of the amount that is reserved for no server. */
    private long unreserved;

    private long unreservedInUse;
    private final long max;

    /**
     * Creates a budget of which nothing is in use or reserved.
     *
     * @param max the maximum amount in use at the same time, positive
     * @throws IllegalArgumentException if {@code max} is not positive
     */
    SharedBudget(long max) {
        if (max <= 0) {
            throw new IllegalArgumentException("max is not positive: " + max);
        }
        this.max = max;
        this.unreserved = max;
    }

    /**
     * Creates the share of a server.
     *
     * @param reservedFraction the fraction of the amount that only this server can use, 0 to 1
     * @return the share, never null
     * @throws IllegalArgumentException if more than the whole amount would be reserved
     */
    synchronized Share share(double reservedFraction) {
        long reserved = (long) (max * reservedFraction);
        if (reserved < 0 || reserved > unreserved) {
            throw new IllegalArgumentException(
                    "the fraction cannot be reserved: " + reservedFraction);
        }
        unreserved -= reserved;
        return new Share(reserved);
    }

    /** Counts what one server uses of the budget. */
    final class Share {
        private final long reserved;
        private long inUse;

        private Share(long reserved) {
            this.reserved = reserved;
        }

        /**
         * Acquires an amount if the share has enough left.
         *
         * @param amount the amount, not negative
         * @return whether the amount was acquired
         */
        boolean tryAcquire(long amount) {
            synchronized (SharedBudget.this) {
                long additional = beyondReserved(inUse + amount) - beyondReserved(inUse);
                if (additional > 0 && unreservedInUse + additional > unreserved) {
                    return false;
                }
                change(amount);
                return true;
            }
        }

        /**
         * Acquires an amount even if it exceeds the budget, such as in place of an amount that is
         * about to be released.
         *
         * @param amount the amount, not negative
         */
        void acquire(long amount) {
            synchronized (SharedBudget.this) {
                change(amount);
            }
        }

        /**
         * Releases an acquired amount.
         *
         * @param amount the amount, at most the acquired one
         */
        void release(long amount) {
            synchronized (SharedBudget.this) {
                change(-amount);
            }
        }

        /**
         * Returns the acquired amount.
         *
         * @return the amount
         */
        long inUse() {
            synchronized (SharedBudget.this) {
                return inUse;
            }
        }

        private void change(long amount) {
            long before = beyondReserved(inUse);
            inUse += amount;
            unreservedInUse += beyondReserved(inUse) - before;
        }

        private long beyondReserved(long amount) {
            return Math.max(0, amount - reserved);
        }
    }
}
