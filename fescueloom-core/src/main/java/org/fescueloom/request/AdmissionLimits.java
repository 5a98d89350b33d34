package org.fescueloom.request;

/**
 * Limits the number and the total size of the attempts in an admission queue.
 *
 * @param maxQueued the maximum number of queued attempts, positive
 * @param maxQueuedPerCustomer the maximum number of queued attempts of one customer, positive
 * @param maxBytes the maximum total size of the queued attempts, in bytes, positive
 */
public record AdmissionLimits(int maxQueued, int maxQueuedPerCustomer, long maxBytes) {
    /** Checks that the limits are positive. */
    public AdmissionLimits {
        if (maxQueued <= 0 || maxQueuedPerCustomer <= 0 || maxBytes <= 0) {
            throw new IllegalArgumentException(
                    "maxQueued, maxQueuedPerCustomer and maxBytes must be positive: "
                            + maxQueued
                            + ", "
                            + maxQueuedPerCustomer
                            + ", "
                            + maxBytes);
        }
    }
}
