package org.fescueloom.placement;

import java.util.List;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;

/** Checks whether all guarantees of a configuration can be laid out at once. */
public final class GuaranteeChecker {
    private GuaranteeChecker() {}

    /**
     * Finds the guarantees that cannot be laid out together with all others.
     *
     * <p>Every known worker counts, lost ones and those in a zone out of service too: taking a zone
     * out breaks guarantees but does not make the configuration wrong.
     *
     * @param document the configuration, not null
     * @param workers every known worker; while none is known nothing can be judged and every
     *     configuration passes, not null
     * @return the shapes that failed, empty if all can be laid out
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
     * @return the shapes that failed, empty if all can be laid out or no worker is known
     */
    public static List<BrokenGuarantee> check(
            List<CustomerPolicy> customers, List<WorkerView> workers) {
        List<WorkerView> usable =
                workers.stream().map(w -> w.withCondition(WorkerCondition.USABLE)).toList();
        return findBroken(customers, usable);
    }

    /**
     * Finds the guarantees that cannot be laid out on the workers that are open now.
     *
     * @param customers the customers, not null
     * @param workers every known worker in its present condition, not null
     * @return the shapes that cannot be laid out, empty if all can or no worker is known
     */
    public static List<BrokenGuarantee> findBroken(
            List<CustomerPolicy> customers, List<WorkerView> workers) {
        return workers.isEmpty()
                ? List.of()
                : new GuaranteeState(new Topology(workers), customers).brokenGuarantees();
    }
}
