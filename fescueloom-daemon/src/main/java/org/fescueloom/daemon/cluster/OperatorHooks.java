package org.fescueloom.daemon.cluster;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationFault;
import org.fescueloom.member.Member;
import org.fescueloom.report.WorkerSummary;

/** Lets the parts that know jobs and workers take part in the operators' calls. */
public interface OperatorHooks {
    /** Takes no part. */
    OperatorHooks NONE = new OperatorHooks() {};

    /**
     * Finds the guarantees of a document that cannot all be laid out on the workers.
     *
     * @param document a document without other faults, not null
     * @return the faults, for which the document is refused; empty if there are none
     */
    default List<ConfigurationFault> checkGuarantees(ConfigurationDocument document) {
        return List.of();
    }

    /**
     * Names the guarantees that cannot be met while zones are out of service.
     *
     * @param document the document in force, not null
     * @return the guarantees in words; empty if all can be met
     */
    default List<String> brokenGuarantees(ConfigurationDocument document) {
        return List.of();
    }

    /**
     * Names the process that plans jobs.
     *
     * @return the identifier, or empty if none is known
     */
    default Optional<String> plannerId() {
        return Optional.empty();
    }

    /**
     * Counts the jobs in each state.
     *
     * @return the counts by the text of the state, never null
     */
    default Map<String, Integer> jobCounts() {
        return Map.of();
    }

    /**
     * Reports a worker with the use of its accelerators.
     *
     * @param workerSummary the worker, not null
     * @param ageMillis the time since its last announcement, in milliseconds
     * @return the report, or empty if nothing more is known than what it announced
     */
    default Optional<WorkerSummary> workerSummary(Member worker, long ageMillis) {
        return Optional.empty();
    }
}
