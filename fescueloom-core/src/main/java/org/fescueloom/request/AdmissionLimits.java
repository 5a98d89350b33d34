package org.fescueloom.request;

/**
 * Bounds what an admission queue holds.
 *
 * @param maxQueued the most attempts that wait in all, positive
 * @param maxQueuedPerCustomer the most attempts of one customer that wait, positive
 * @param maxBytes the most bytes of waiting attempts, positive
 */
public record AdmissionLimits(int maxQueued, int maxQueuedPerCustomer, long maxBytes) {
    /** Checks that the limits are positive. */
    public AdmissionLimits {
        if (maxQueued <= 0 || maxQueuedPerCustomer <= 0 || maxBytes <= 0) {
            throw new IllegalArgumentException("the limits of a queue must be positive");
        }
    }
}
