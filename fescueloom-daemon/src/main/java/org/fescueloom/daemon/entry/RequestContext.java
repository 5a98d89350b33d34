package org.fescueloom.daemon.entry;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.request.AttemptId;

/**
 * Holds what all requests of an entry share.
 *
 * @param issuer the name under which this entry numbers its attempts, not null
 * @param incarnation the incarnation of this process
 * @param sequence the number of the next attempt, not null
 * @param pool the upstreams, not null
 * @param client sends attempts, not null
 * @param claims records identifiers, not null
 * @param timer runs tasks later; they must not block, not null
 * @param metrics takes the counts, not null
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

    AttemptId nextAttemptId() {
        return new AttemptId(issuer, incarnation, sequence.getAndIncrement());
    }
}
