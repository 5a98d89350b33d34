package org.fescueloom.placement;

import java.util.List;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;

/** Checks whether all guarantees of a configuration can be laid out at the same time. */
public final class GuaranteeChecker {
    private GuaranteeChecker() {}

    /**
     * Finds the guarantees that cannot be laid out together with all others.
     *
     * <p>Every known worker counts, including lost workers and workers in a zone that is out of
     * service, because a zone that is taken out of service breaks guarantees but does not make the
     * configuration invalid.
     *
     * @param document the configuration, not null
     * @param workers every known worker, not null; while no worker is known, nothing can be checked
     *     and every configuration passes
     * @return the guaranteed shapes that cannot be laid out, empty if all can be
     */
    public static List<BrokenGuarantee> check(
            ConfigurationDocument document, List<WorkerView> workers) {
        return check(document.customers(), workers);
    }

    /**
     * Finds the guarantees that cannot be laid out together with all others.
     *
     * @param customers the customers, not null
     * @param workers every known worker, not null
     * @return the guaranteed shapes that cannot be laid out, empty if all can be or no worker is
     *     known
     */
    public static List<BrokenGuarantee> check(
            List<CustomerPolicy> customers, List<WorkerView> workers) {
        List<WorkerView> usable =
                workers.stream().map(w -> w.withCondition(WorkerCondition.USABLE)).toList();
        return findBroken(customers, usable);
    }

    /**
     * Finds the guarantees that cannot be laid out on the workers whose condition is {@code
     * USABLE}.
     *
     * @param customers the customers, not null
     * @param workers every known worker with its current condition, not null
     * @return the guaranteed shapes that cannot be laid out, empty if all can be or no worker is
     *     known
     */
    public static List<BrokenGuarantee> findBroken(
            List<CustomerPolicy> customers, List<WorkerView> workers) {
        return workers.isEmpty()
                ? List.of()
                : new GuaranteeState(new Topology(workers), customers).brokenGuarantees();
    }
}
