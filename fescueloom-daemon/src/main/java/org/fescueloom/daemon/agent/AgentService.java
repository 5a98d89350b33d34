package org.fescueloom.daemon.agent;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;
import org.fescueloom.request.AttemptId;
import org.fescueloom.request.AttemptResolution;
import org.fescueloom.request.ClaimRegistry;
import org.fescueloom.wire.AgentStatus;
import org.fescueloom.wire.AttemptState;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.Headers;
import org.fescueloom.wire.OccupancyHeader;
import org.fescueloom.wire.RequestClaim;
import org.fescueloom.wire.UpstreamRegistration;
import org.tinylog.Logger;

/** Executes the attempts that entries send, at this agent's upstream, and records claims. */
public final class AgentService implements Service {
    /** The maximum number of attempts that are in flight at the upstream. */
    private static final int MAX_UPSTREAM_CALLS = 64;

    /** The interval at which queued attempts are started or refused. */
    private static final long SCHEDULING_INTERVAL_MILLIS = 20;

    /** The maximum time for which a resolve call waits for the end of a running attempt. */
    private static final long MAX_RESOLVE_WAIT_MILLIS = 10_000;

    /** The time after the deadline of an attempt until the call to the upstream times out. */
    private static final long GRACE_AFTER_DEADLINE_NANOS = 60_000_000_000L;

    private static final long CLAIM_RETENTION_NANOS = 300_000_000_000L;
    private static final int MAX_CLAIMS = 40_000;

    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

    /** The time for which the drain continues after the last attempt has ended. */
    private static final long FINAL_DRAIN_DELAY_MILLIS = 500;

    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private final long incarnation;
    private final AttemptScheduler scheduler;
    private final ClaimRegistry claims =
            new ClaimRegistry(
                    CLAIM_RETENTION_NANOS,
                    MAX_CLAIMS,
                    System.nanoTime() + ClaimRegistry.VOUCH_DELAY_NANOS);
    private final Metrics metrics;
    private final Runnable onLeavingChange;
    private final UpstreamClient upstreamClient = new UpstreamClient(MAX_UPSTREAM_CALLS);
    private final ScheduledExecutorService timer = Timers.singleThread("attempt-timer");

    /**
     * Creates the service.
     *
     * @param incarnation the incarnation of this process
     * @param gate decides whether work may start in the availability zone of this process, not null
     * @param config supplies the configuration in force, not null
     * @param metrics the metrics of this process, not null
     * @param onLeavingChange runs when the result of {@link #isLeaving} may have changed, not null
     */
    public AgentService(
            long incarnation,
            StartGate gate,
            Supplier<ConfigurationDocument> config,
            Metrics metrics,
            Runnable onLeavingChange) {
        this.incarnation = incarnation;
        this.scheduler = new AttemptScheduler(System::nanoTime, gate, config);
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.onLeavingChange = Objects.requireNonNull(onLeavingChange, "onLeavingChange");
    }

    /**
     * Returns the current occupancy of the upstream, for announcements.
     *
     * @return the status; null if no upstream is registered
     */
    public AgentStatus status() {
        return scheduler.status();
    }

    /**
     * Tests whether the agent is leaving, that is, refuses all new attempts.
     *
     * @return true if the agent is shutting down or its upstream is leaving
     */
    public boolean isLeaving() {
        return scheduler.isLeaving();
    }

    @Override
    public void registerRoutes(HttpServer server) {
        server.route("PUT", "/v1/upstream", this::handleRegistration);
        server.route("POST", "/internal/attempts/{attempt}", this::handleAttempt);
        server.route("POST", "/internal/attempts/{attempt}/resolve", this::handleResolve);
        server.route("POST", "/internal/attempts/{attempt}/cancel", this::handleCancel);
        server.route("PUT", "/internal/claims/{request}", this::handleClaim);
        server.route("DELETE", "/internal/claims/{request}", this::handleClaimWithdrawal);
    }

    @Override
    public void start(String address) {
        timer.scheduleWithFixedDelay(
                this::startQueuedAttempts,
                SCHEDULING_INTERVAL_MILLIS,
                SCHEDULING_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void drain() {
        scheduler.drain();
        onLeavingChange.run();
        try {
            while (scheduler.unfinishedCount() > 0) {
                Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
            }
            Thread.sleep(FINAL_DRAIN_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        upstreamClient.close();
    }

    private CompletableFuture<HttpServerResponse> handleRegistration(HttpCall call) {
        UpstreamRegistration registration = call.readStrict(UpstreamRegistration.class);
        boolean wasLeaving = scheduler.isLeaving();
        if (scheduler.register(registration)) {
            Logger.info(
                    "event=upstream-registered upstream={} slots={} leaving={}",
                    registration.upstream(),
                    registration.slots(),
                    registration.leaving());
        }
        if (wasLeaving != scheduler.isLeaving()) {
            onLeavingChange.run();
        }
        startQueuedAttempts();
        return CompletableFuture.completedFuture(HttpServerResponse.json(scheduler.status()));
    }

    private CompletableFuture<HttpServerResponse> handleAttempt(HttpCall call) {
        try {
            requireIncarnation(call);
            PendingAttempt attempt = PendingAttempt.read(call, System.nanoTime());
            scheduler.accept(attempt);
            startQueuedAttempts();
            return attempt.response
                    .handle(this::toResponse)
                    .thenApply(
                            httpResponse ->
                                    httpResponse.withHeader(
                                            Headers.ATTEMPT_ID, attempt.id.toString()));
        } catch (SchedulerException e) {
            return CompletableFuture.completedFuture(failureResponse(e));
        }
    }

    private CompletableFuture<HttpServerResponse> handleResolve(HttpCall call) {
        AttemptId id = AttemptId.parse(call.pathVariable("attempt"));
        if (call.headerLong(Headers.AGENT_INCARNATION, incarnation) != incarnation) {
            // Another incarnation of the agent may have run the attempt.
            return CompletableFuture.completedFuture(toResponse(AttemptState.UNKNOWN));
        }
        // With "queued=keep", an entry asks for the state without cancelling a queued attempt.
        boolean keepQueued = call.query("queued").filter("keep"::equals).isPresent();
        long waitMillis = Math.min(call.queryLong("waitMillis", 0), MAX_RESOLVE_WAIT_MILLIS);
        PendingAttempt pending = scheduler.find(id);
        HttpServerResponse httpResponse = resolveNow(id, keepQueued);
        boolean running = AttemptState.RUNNING.text().equals(stateOf(httpResponse));
        if (pending == null || !running || waitMillis <= 0) {
            return CompletableFuture.completedFuture(httpResponse);
        }
        // The time-out completes only the copy, not the future of the attempt.
        return pending.response
                .copy()
                .orTimeout(waitMillis, TimeUnit.MILLISECONDS)
                .handle((response, error) -> resolveNow(id, keepQueued));
    }

    private CompletableFuture<HttpServerResponse> handleCancel(HttpCall call) {
        AttemptId id = AttemptId.parse(call.pathVariable("attempt"));
        metrics.count("attempts.cancel-requests");
        return CompletableFuture.completedFuture(resolveNow(id, false));
    }

    private CompletableFuture<HttpServerResponse> handleClaim(HttpCall call) {
        RequestClaim claim = call.read(RequestClaim.class);
        ClaimReply claimReply;
        synchronized (claims) {
            claimReply = claims.claim(claim, System.nanoTime());
        }
        metrics.count(claimReply.granted() ? "claims.granted" : "claims.taken");
        return CompletableFuture.completedFuture(HttpServerResponse.json(claimReply));
    }

    private CompletableFuture<HttpServerResponse> handleClaimWithdrawal(HttpCall call) {
        String attemptId = call.query("attempt").orElse("");
        boolean removed;
        synchronized (claims) {
            removed = claims.withdraw(call.pathVariable("request"), attemptId);
        }
        return CompletableFuture.completedFuture(
                HttpServerResponse.json(Map.of("removed", removed)));
    }

    /**
     * Returns the outcome of an attempt as far as this agent knows it. An attempt that has not
     * arrived is cancelled, and so is a queued attempt unless {@code keepQueued} is true. A running
     * attempt continues.
     */
    private HttpServerResponse resolveNow(AttemptId id, boolean keepQueued) {
        AttemptScheduler.DeferredActions deferred = AttemptScheduler.DeferredActions.empty();
        AttemptResolution resolution = scheduler.resolve(id, keepQueued, deferred);
        perform(deferred);
        metrics.count("attempts.resolved." + resolution.state().text());
        if (resolution.answer() != null) {
            return toResponse(resolution.answer());
        }
        if (resolution.state() == AttemptState.ANSWERED) {
            FailureType type = resolution.failure();
            return HttpServerResponse.failure(
                    new SchedulerException(
                            type, "attempt " + id + " ran at the upstream and failed"));
        }
        return toResponse(resolution.state());
    }

    private void startQueuedAttempts() {
        try {
            perform(scheduler.startQueued());
        } catch (RuntimeException e) {
            Logger.error(e, "event=attempts-not-started");
        }
    }

    private void perform(AttemptScheduler.DeferredActions deferred) {
        for (AttemptScheduler.AttemptRefusal refusal : deferred.refusals()) {
            refusal.attempt().response.completeExceptionally(refusal.failure());
        }
        for (AttemptScheduler.AttemptStart start : deferred.starts()) {
            send(start);
        }
    }

    private void send(AttemptScheduler.AttemptStart start) {
        PendingAttempt attempt = start.attempt();
        long startedNanos = System.nanoTime();
        long timeLeftNanos = Math.max(0, attempt.deadlineNanos - startedNanos);
        Duration timeout = Duration.ofNanos(timeLeftNanos + GRACE_AFTER_DEADLINE_NANOS);
        upstreamClient
                .send(attempt, start.upstream(), timeout)
                .whenComplete(
                        (response, error) -> {
                            long elapsedNanos = System.nanoTime() - startedNanos;
                            finish(attempt, response, error, elapsedNanos);
                        });
    }

    private void finish(
            PendingAttempt attempt, AttemptAnswer response, Throwable error, long elapsedNanos) {
        SchedulerException failure =
                error == null ? null : Failures.of(error, FailureType.OUTCOME_UNKNOWN);
        scheduler.finish(attempt, response, failure, elapsedNanos);
        attempt.releaseBody();
        if (response == null) {
            onUpstreamFailure(failure.type());
            attempt.response.completeExceptionally(failure);
        } else {
            metrics.timer("attempts.service").update(elapsedNanos, TimeUnit.NANOSECONDS);
            attempt.response.complete(response);
        }
        startQueuedAttempts();
    }

    /**
     * Closes the idle connections, and removes the registration of an unreachable upstream, so that
     * further attempts do not use connections and upstreams that have probably failed.
     */
    private void onUpstreamFailure(FailureType type) {
        if (type == FailureType.OUTCOME_UNKNOWN || type == FailureType.UPSTREAM_UNREACHABLE) {
            upstreamClient.closeIdleConnections();
        }
        if (type == FailureType.UPSTREAM_UNREACHABLE) {
            scheduler.clearUpstream();
        }
    }

    private HttpServerResponse toResponse(AttemptAnswer response, Throwable error) {
        return error == null
                ? toResponse(response)
                : failureResponse(Failures.of(error, FailureType.OUTCOME_UNKNOWN));
    }

    private HttpServerResponse toResponse(AttemptAnswer response) {
        String contentType =
                response.contentType() == null ? DEFAULT_CONTENT_TYPE : response.contentType();
        HttpServerResponse httpResponse =
                new HttpServerResponse(
                                HttpServerResponse.OK, contentType, Map.of(), response.body())
                        .withHeader(Headers.ATTEMPT_STATE, AttemptState.ANSWERED.text())
                        .withHeader(Headers.UPSTREAM_STATUS, Integer.toString(response.status()));
        return withOccupancy(httpResponse);
    }

    private HttpServerResponse toResponse(AttemptState state) {
        HttpServerResponse httpResponse = HttpServerResponse.json(Map.of("state", state));
        return withOccupancy(httpResponse.withHeader(Headers.ATTEMPT_STATE, state.text()));
    }

    private HttpServerResponse failureResponse(SchedulerException failure) {
        metrics.countRefusal(failure.type());
        return withOccupancy(HttpServerResponse.failure(failure));
    }

    private HttpServerResponse withOccupancy(HttpServerResponse httpResponse) {
        AgentStatus status = scheduler.status();
        return status == null
                ? httpResponse
                : httpResponse.withHeader(Headers.AGENT_OCCUPANCY, OccupancyHeader.format(status));
    }

    private void requireIncarnation(HttpCall call) {
        long addressedIncarnation = call.headerLong(Headers.AGENT_INCARNATION, incarnation);
        if (addressedIncarnation != incarnation) {
            throw new SchedulerException(
                    FailureType.INCARNATION_MISMATCH,
                    "this agent is incarnation "
                            + incarnation
                            + ", but the attempt is addressed to incarnation "
                            + addressedIncarnation);
        }
    }

    private static String stateOf(HttpServerResponse httpResponse) {
        return httpResponse.headers().get(Headers.ATTEMPT_STATE);
    }
}
