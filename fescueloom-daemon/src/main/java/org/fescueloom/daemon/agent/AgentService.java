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
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
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

/** Serves the attempts of the entries at the upstream beside this agent. */
public final class AgentService implements Service {
    private static final int MAX_UPSTREAM_CALLS = 64;
    private static final long SWEEP_MILLIS = 20;
    private static final long MAX_RESOLVE_WAIT_MILLIS = 10_000;
    private static final long RUNNING_GRACE_NANOS = 60_000_000_000L;
    private static final long CLAIM_RETENTION_NANOS = 300_000_000_000L;
    private static final int MAX_CLAIMS = 40_000;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long DRAIN_LINGER_MILLIS = 500;
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
     * @param gate decides whether work may start in the zone of this process, not null
     * @param config the configuration in force, not null
     * @param metrics takes the counts, not null
     * @param onLeavingChange is run when the agent stops or begins again to take attempts, not null
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
     * Returns what the upstream can take, for announcements.
     *
     * @return the status; null without an upstream
     */
    public AgentStatus status() {
        return scheduler.status();
    }

    /**
     * Tells whether the agent takes no new attempts.
     *
     * @return true while it shuts down or its upstream is leaving
     */
    public boolean isLeaving() {
        return scheduler.isLeaving();
    }

    @Override
    public void routes(HttpServer server) {
        server.route("PUT", "/v1/upstream", this::register);
        server.route("POST", "/internal/attempts/{attempt}", this::attempt);
        server.route("POST", "/internal/attempts/{attempt}/resolve", this::resolve);
        server.route("POST", "/internal/attempts/{attempt}/cancel", this::cancel);
        server.route("PUT", "/internal/claims/{request}", this::claim);
        server.route("DELETE", "/internal/claims/{request}", this::withdrawClaim);
    }

    @Override
    public void start(String address) {
        timer.scheduleWithFixedDelay(
                this::startNext, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void drain() {
        scheduler.drain();
        onLeavingChange.run();
        try {
            while (scheduler.unfinished() > 0) {
                Thread.sleep(DRAIN_POLL_MILLIS);
            }
            Thread.sleep(DRAIN_LINGER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        upstreamClient.close();
    }

    private CompletableFuture<HttpReply> register(HttpCall call) {
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
        startNext();
        return CompletableFuture.completedFuture(HttpReply.json(scheduler.status()));
    }

    private CompletableFuture<HttpReply> attempt(HttpCall call) {
        try {
            requireIncarnation(call);
            PendingAttempt attempt = PendingAttempt.read(call, System.nanoTime());
            scheduler.accept(attempt);
            startNext();
            return attempt.answer
                    .handle(this::reply)
                    .thenApply(r -> r.withHeader(Headers.ATTEMPT_ID, attempt.id.toString()));
        } catch (SchedulerException e) {
            return CompletableFuture.completedFuture(refusal(e));
        }
    }

    private CompletableFuture<HttpReply> resolve(HttpCall call) {
        AttemptId id = AttemptId.parse(call.path("attempt"));
        if (call.headerLong(Headers.AGENT_INCARNATION, incarnation) != incarnation) {
            return CompletableFuture.completedFuture(reply(AttemptState.UNKNOWN));
        }
        boolean keepQueued = call.query("queued").filter("keep"::equals).isPresent();
        long waitMillis = Math.min(call.queryLong("waitMillis", 0), MAX_RESOLVE_WAIT_MILLIS);
        PendingAttempt pending = scheduler.find(id);
        HttpReply now = resolveNow(id, keepQueued);
        boolean running = AttemptState.RUNNING.text().equals(stateOf(now));
        if (pending == null || !running || waitMillis <= 0) {
            return CompletableFuture.completedFuture(now);
        }
        return pending.answer
                .copy()
                .orTimeout(waitMillis, TimeUnit.MILLISECONDS)
                .handle((answer, error) -> resolveNow(id, keepQueued));
    }

    private CompletableFuture<HttpReply> cancel(HttpCall call) {
        AttemptId id = AttemptId.parse(call.path("attempt"));
        metrics.count("attempts.cancel-requests");
        return CompletableFuture.completedFuture(resolveNow(id, false));
    }

    private CompletableFuture<HttpReply> claim(HttpCall call) {
        RequestClaim claim = call.read(RequestClaim.class);
        ClaimReply reply;
        synchronized (claims) {
            reply = claims.claim(claim, System.nanoTime());
        }
        metrics.count(reply.granted() ? "claims.granted" : "claims.taken");
        return CompletableFuture.completedFuture(HttpReply.json(reply));
    }

    private CompletableFuture<HttpReply> withdrawClaim(HttpCall call) {
        String attempt = call.query("attempt").orElse("");
        boolean removed;
        synchronized (claims) {
            removed = claims.withdraw(call.path("request"), attempt);
        }
        return CompletableFuture.completedFuture(HttpReply.json(Map.of("removed", removed)));
    }

    private HttpReply resolveNow(AttemptId id, boolean keepQueued) {
        AttemptScheduler.Work work = AttemptScheduler.Work.none();
        AttemptResolution resolution = scheduler.resolve(id, keepQueued, work);
        carryOut(work);
        metrics.count("attempts.resolved." + resolution.state().text());
        if (resolution.answer() != null) {
            return reply(resolution.answer());
        }
        if (resolution.state() == AttemptState.ANSWERED) {
            FailureType type = resolution.failure();
            return HttpReply.failure(new SchedulerException(type, "the attempt ran and failed"));
        }
        return reply(resolution.state());
    }

    private void startNext() {
        try {
            carryOut(scheduler.next());
        } catch (RuntimeException e) {
            Logger.error(e, "event=attempts-not-started");
        }
    }

    private void carryOut(AttemptScheduler.Work work) {
        for (AttemptScheduler.Refusal refusal : work.refusals()) {
            refusal.attempt().answer.completeExceptionally(refusal.failure());
        }
        for (AttemptScheduler.Start start : work.starts()) {
            send(start);
        }
    }

    private void send(AttemptScheduler.Start start) {
        PendingAttempt attempt = start.attempt();
        long startedNanos = System.nanoTime();
        long left = Math.max(0, attempt.deadlineNanos - startedNanos);
        Duration timeout = Duration.ofNanos(left + RUNNING_GRACE_NANOS);
        upstreamClient
                .send(attempt, start.upstream(), timeout)
                .whenComplete(
                        (answer, error) -> {
                            long elapsed = System.nanoTime() - startedNanos;
                            finish(attempt, answer, error, elapsed);
                        });
    }

    private void finish(
            PendingAttempt attempt, AttemptAnswer answer, Throwable error, long elapsed) {
        SchedulerException failure =
                error == null ? null : Failures.of(error, FailureType.OUTCOME_UNKNOWN);
        scheduler.finish(attempt, answer, failure, elapsed);
        attempt.releaseBody();
        if (answer == null) {
            noteUpstreamFailure(failure.type());
            attempt.answer.completeExceptionally(failure);
        } else {
            metrics.timer("attempts.service").update(elapsed, TimeUnit.NANOSECONDS);
            attempt.answer.complete(answer);
        }
        startNext();
    }

    /** Keeps further attempts from connections and upstreams that are most likely gone. */
    private void noteUpstreamFailure(FailureType type) {
        if (type == FailureType.OUTCOME_UNKNOWN || type == FailureType.UPSTREAM_UNREACHABLE) {
            upstreamClient.closeIdle();
        }
        if (type == FailureType.UPSTREAM_UNREACHABLE) {
            scheduler.upstreamGone();
        }
    }

    private HttpReply reply(AttemptAnswer answer, Throwable error) {
        return error == null
                ? reply(answer)
                : refusal(Failures.of(error, FailureType.OUTCOME_UNKNOWN));
    }

    private HttpReply reply(AttemptAnswer answer) {
        String type = answer.contentType() == null ? DEFAULT_CONTENT_TYPE : answer.contentType();
        HttpReply reply =
                new HttpReply(HttpReply.OK, type, Map.of(), answer.body())
                        .withHeader(Headers.ATTEMPT_STATE, AttemptState.ANSWERED.text())
                        .withHeader(Headers.UPSTREAM_STATUS, Integer.toString(answer.status()));
        return withOccupancy(reply);
    }

    private HttpReply reply(AttemptState state) {
        HttpReply reply = HttpReply.json(Map.of("state", state));
        return withOccupancy(reply.withHeader(Headers.ATTEMPT_STATE, state.text()));
    }

    private HttpReply refusal(SchedulerException failure) {
        metrics.countRefusal(failure.type());
        return withOccupancy(HttpReply.failure(failure));
    }

    private HttpReply withOccupancy(HttpReply reply) {
        AgentStatus status = scheduler.status();
        return status == null
                ? reply
                : reply.withHeader(Headers.AGENT_OCCUPANCY, OccupancyHeader.format(status));
    }

    private void requireIncarnation(HttpCall call) {
        long wanted = call.headerLong(Headers.AGENT_INCARNATION, incarnation);
        if (wanted != incarnation) {
            throw new SchedulerException(
                    FailureType.INCARNATION_MISMATCH,
                    "this is incarnation " + incarnation + ", not " + wanted);
        }
    }

    private static String stateOf(HttpReply reply) {
        return reply.headers().get(Headers.ATTEMPT_STATE);
    }
}
