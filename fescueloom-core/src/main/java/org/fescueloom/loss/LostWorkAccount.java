package org.fescueloom.loss;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Adds up lost work by cause, and by customer and queue. Safe for use by several threads, because
 * metrics are read on other threads than the one that records.
 */
public final class LostWorkAccount {
    /** The maximum number of pairs of customer and queue that are counted separately. */
    public static final int MAX_PAIRS = 256;

    /** The name under which the work of further pairs is counted. */
    private static final String OTHER = "other";

    private final double[] byCause = new double[LossCause.values().length];
    private final Map<Owner, Double> byOwner = new HashMap<>();
    private double other;

    /**
     * Identifies whose work was lost.
     *
     * @param customer the customer, not null; empty if the caller gave none
     * @param queue the name of the queue, not null
     */
    public record Owner(String customer, String queue) {
        /** Stands for all pairs beyond {@link LostWorkAccount#MAX_PAIRS}. */
        public static final Owner OTHER = new Owner(LostWorkAccount.OTHER, LostWorkAccount.OTHER);

        /** Checks that no component is null. */
        public Owner {
            Objects.requireNonNull(customer, "customer");
            Objects.requireNonNull(queue, "queue");
        }
    }

    /**
     * Holds the lost work of a customer in a queue.
     *
     * @param owner whose work was lost, not null
     * @param coreSeconds the lost work, in core-seconds
     */
    public record OwnerLoss(Owner owner, double coreSeconds) {
        /** Checks the owner. */
        public OwnerLoss {
            Objects.requireNonNull(owner, "owner");
        }
    }

    /**
     * Adds lost work. Work of 0 changes nothing.
     *
     * @param cause why the work was lost, not null
     * @param customer the customer of the job, not null; empty if it has none
     * @param queue the queue of the job, not null
     * @param coreSeconds the lost work, in core-seconds, finite and not negative
     * @throws IllegalArgumentException if the work is negative or not finite
     */
    public synchronized void record(
            LossCause cause, String customer, String queue, double coreSeconds) {
        Objects.requireNonNull(cause, "cause");
        Owner owner = new Owner(customer, queue);
        if (!(coreSeconds >= 0 && coreSeconds < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(
                    "coreSeconds must be finite and not negative, but is " + coreSeconds);
        }
        if (coreSeconds == 0) {
            return;
        }
        byCause[cause.ordinal()] += coreSeconds;
        if (byOwner.size() < MAX_PAIRS || byOwner.containsKey(owner)) {
            byOwner.merge(owner, coreSeconds, Double::sum);
        } else {
            other += coreSeconds;
        }
    }

    /**
     * Returns the work that was lost for a cause.
     *
     * @param cause the cause, not null
     * @return the lost work, in core-seconds
     */
    public synchronized double total(LossCause cause) {
        return byCause[cause.ordinal()];
    }

    /**
     * Returns the work that was lost for any cause.
     *
     * @return the lost work, in core-seconds
     */
    public synchronized double total() {
        return Arrays.stream(byCause).sum();
    }

    /**
     * Returns the causes for which most work was lost.
     *
     * @param count the maximum number of causes, not negative
     * @return the causes with lost work, the largest first, never null
     * @throws IllegalArgumentException if the number is negative
     */
    public synchronized List<LossCause> largestCauses(int count) {
        return Arrays.stream(LossCause.values())
                .filter(cause -> byCause[cause.ordinal()] > 0)
                .sorted(Comparator.comparingDouble(cause -> -byCause[cause.ordinal()]))
                .limit(count)
                .toList();
    }

    /**
     * Returns the lost work by customer and queue.
     *
     * @return a copy, with {@link Owner#OTHER} for the pairs that are counted together, if any;
     *     never null
     */
    public synchronized Map<Owner, Double> totalsByOwner() {
        Map<Owner, Double> totals = new HashMap<>(byOwner);
        if (other > 0) {
            totals.merge(Owner.OTHER, other, Double::sum);
        }
        return totals;
    }

    /**
     * Returns the customer and queue that lost most work.
     *
     * @return the pair with its loss; empty if no work was lost; never null
     */
    public Optional<OwnerLoss> largestOwner() {
        return totalsByOwner().entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(entry -> new OwnerLoss(entry.getKey(), entry.getValue()));
    }
}
