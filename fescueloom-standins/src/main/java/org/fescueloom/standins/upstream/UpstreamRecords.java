package org.fescueloom.standins.upstream;

import java.util.List;

/**
 * Tells what an upstream really did.
 *
 * @param upstream the identifier of the upstream
 * @param runs each run, in order of its start; null counts as none
 * @param violations what others did that the protocol forbids; null counts as none
 */
public record UpstreamRecords(String upstream, List<UpstreamRun> runs, List<String> violations) {
    /** Copies the lists. */
    public UpstreamRecords {
        runs = runs == null ? List.of() : List.copyOf(runs);
        violations = violations == null ? List.of() : List.copyOf(violations);
    }
}
