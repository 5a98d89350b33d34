package org.fescueloom.daemon.entry;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.request.AttemptId;

/**
 * Holds the objects that all request runs of an entry share.
 *
 * @param issuer the name of this entry in the identifiers of its attempts, not null
 * @param incarnation the incarnation of this process
 * @param sequence the sequence number of the next attempt, not null
 * @param pool chooses the agents for attempts, not null
 * @param client sends attempts to agents, not null
 * @param claims sends claims of request identifiers to agents, not null
 * @param timer runs delayed tasks, which must not block; not null
 * @param metrics the metrics of this process, not null
 */
record RequestContext(
        String issuer,
        long incarnation,
        AtomicLong sequence,
        UpstreamPool pool,
        AttemptClient client,
        ClaimClient claims,
        ScheduledExecutorService timer,
        Metrics metrics) {
    /** Checks that no component is null. */
    RequestContext {
        Objects.requireNonNull(issuer, "issuer");
        Objects.requireNonNull(sequence, "sequence");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(claims, "claims");
        Objects.requireNonNull(timer, "timer");
        Objects.requireNonNull(metrics, "metrics");
    }

    /** Returns the identifier of a new attempt; its sequence number is higher than all before. */
    AttemptId nextAttemptId() {
        return new AttemptId(issuer, incarnation, sequence.getAndIncrement());
    }
}
