package org.fescueloom.wire;

import java.util.Objects;

/**
 * Records which run of a request has the identifier of the request, and its latest attempt.
 *
 * @param request the identifier of the request, not null
 * @param run the identifier of the run, not null
 * @param digest a digest of everything that makes the request, not null
 * @param attempt the identifier of the latest attempt, not null
 * @param upstream the upstream of the attempt, not null
 * @param agent the address of the agent of the attempt, as "address:port", not null
 * @param agentIncarnation the incarnation of that agent
 * @param replaces the attempt of another run that did not run, so that this run may take its place;
 *     null for none
 */
public record RequestClaim(
        String request,
        String run,
        String digest,
        String attempt,
        String upstream,
        String agent,
        long agentIncarnation,
        String replaces) {
    /** Checks that all required components are given. */
    public RequestClaim {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(agent, "agent");
    }
}
