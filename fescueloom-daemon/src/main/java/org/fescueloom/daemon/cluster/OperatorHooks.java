package org.fescueloom.daemon.cluster;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationFault;
import org.fescueloom.member.Member;
import org.fescueloom.report.WorkerSummary;

/**
 * Adds data and checks on jobs and workers to the requests of operators.
 *
 * <p>The default methods add nothing.
 */
public interface OperatorHooks {
    /** Hooks that add nothing. */
    OperatorHooks NONE = new OperatorHooks() {};

    /**
     * Checks that the guaranteed blocks of a document can all be laid out on the workers.
     *
     * @param document a document without other faults, not null
     * @return the faults; the document is refused unless empty, never null
     */
    default List<ConfigurationFault> checkGuarantees(ConfigurationDocument document) {
        return List.of();
    }

    /**
     * Describes the guarantees that cannot be met while zones are out of service.
     *
     * @param document the document in force, not null
     * @return a description of each guarantee; empty if all can be met, never null
     */
    default List<String> brokenGuarantees(ConfigurationDocument document) {
        return List.of();
    }

    /**
     * Returns the member ID of the planner.
     *
     * @return the ID, or empty if the planner is not known
     */
    default Optional<String> plannerId() {
        return Optional.empty();
    }

    /**
     * Returns the number of jobs in each state.
     *
     * @return the numbers by the text of the state, never null
     */
    default Map<String, Integer> jobCounts() {
        return Map.of();
    }

    /**
     * Returns the summary of a worker, with the use of its accelerators.
     *
     * @param worker the worker, not null
     * @param ageMillis the time since the last announcement of the worker, in milliseconds
     * @return the summary, or empty if nothing is known beyond the announcement of the worker
     */
    default Optional<WorkerSummary> workerSummary(Member worker, long ageMillis) {
        return Optional.empty();
    }
}
