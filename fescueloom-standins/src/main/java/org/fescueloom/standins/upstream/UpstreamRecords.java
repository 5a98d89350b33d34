package org.fescueloom.standins.upstream;

import java.util.List;

/**
 * Reports the runs of an upstream stand-in and the protocol violations that it met.
 *
 * @param upstream the identifier of the upstream
 * @param runs the runs of requests in the order of their starts; null is treated as none
 * @param violations a description of each call that the protocol forbids; null is treated as none
 */
public record UpstreamRecords(String upstream, List<UpstreamRun> runs, List<String> violations) {
    /** Copies the lists. */
    public UpstreamRecords {
        runs = runs == null ? List.of() : List.copyOf(runs);
        violations = violations == null ? List.of() : List.copyOf(violations);
    }
}
