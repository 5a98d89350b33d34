package org.fescueloom.placement;

import java.util.List;
import java.util.Optional;

/**
 * Holds what one planning round decided.
 *
 * @param decisions in the order in which they were made; each waiting job has exactly one of start,
 *     wait, reject, and may have a reservation besides; null counts as none
 * @param brokenGuarantees guarantees that the loss of workers or zones breaks; null counts as none
 */
public record Plan(List<Decision> decisions, List<BrokenGuarantee> brokenGuarantees) {
    /** Copies the lists. */
    public Plan {
        decisions = decisions == null ? List.of() : List.copyOf(decisions);
        brokenGuarantees = brokenGuarantees == null ? List.of() : List.copyOf(brokenGuarantees);
    }

    /**
     * Returns the decisions of one kind.
     *
     * @param <T> the kind
     * @param kind the class of the kind, not null
     * @return the decisions in order, never null
     */
    public <T extends Decision> List<T> decisions(Class<T> kind) {
        return decisions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /**
     * Returns the start of a job.
     *
     * @param job the job, not null
     * @return the decision, or empty if the job does not start
     */
    public Optional<StartGang> startOf(String job) {
        return decisions(StartGang.class).stream().filter(s -> s.job().equals(job)).findFirst();
    }
}
