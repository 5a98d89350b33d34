package org.fescueloom.placement;

import java.util.List;
import java.util.Optional;

/**
 * Holds the decisions of one planning round.
 *
 * @param decisions the decisions, in order; each waiting job has exactly one decision to start,
 *     wait or reject, and may also have a reservation; null means none
 * @param brokenGuarantees the guarantees that cannot be met because workers or zones are lost; null
 *     means none
 */
public record Plan(List<Decision> decisions, List<BrokenGuarantee> brokenGuarantees) {
    /** Copies the lists. */
    public Plan {
        decisions = decisions == null ? List.of() : List.copyOf(decisions);
        brokenGuarantees = brokenGuarantees == null ? List.of() : List.copyOf(brokenGuarantees);
    }

    /**
     * Returns the decisions of one type.
     *
     * @param <T> the type
     * @param kind the class of the type, not null
     * @return the decisions in order, never null
     */
    public <T extends Decision> List<T> decisions(Class<T> kind) {
        return decisions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /**
     * Returns the decision to start a job.
     *
     * @param job the identifier of the job, not null
     * @return the decision, or empty if the job does not start
     */
    public Optional<StartGang> startOf(String job) {
        return decisions(StartGang.class).stream().filter(s -> s.job().equals(job)).findFirst();
    }
}
