package org.fescueloom.wire;

import java.util.Objects;

/**
 * Claims a request identifier for one run of the request, and describes the latest attempt of that
 * run.
 *
 * @param request the identifier of the request, not null
 * @param run the identifier of the request run, not null
 * @param digest a digest of the content of the request, not null
 * @param attempt the identifier of the latest attempt, not null
 * @param upstream the identifier of the upstream of the attempt, not null
 * @param agent the address of the agent of the attempt, as "address:port", not null
 * @param agentIncarnation the incarnation of that agent
 * @param replaces the identifier of an attempt of another run that is known not to have run, whose
 *     claim this claim replaces; null for none
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
    /** Checks that the required components are not null. */
    public RequestClaim {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(agent, "agent");
    }
}
