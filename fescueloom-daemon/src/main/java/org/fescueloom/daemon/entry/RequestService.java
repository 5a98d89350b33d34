package org.fescueloom.daemon.entry;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.ZoneState;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.member.Member;
import org.fescueloom.report.ExplanationReport;
import org.fescueloom.request.AdmissionLimits;
import org.fescueloom.request.AdmissionQueue;
import org.fescueloom.request.QueuedAttempt;
import org.fescueloom.request.SelectionPolicy;
import org.fescueloom.wire.Headers;
import org.tinylog.Logger;

/**
 * Handles the requests of callers: queues them, starts a request run for each and returns its
 * result.
 *
 * <p>A request is unfinished from its admission until its result is known.
 */
public final class RequestService implements Service {
    /** The interval at which the incarnations of new agents are recorded, to detect restarts. */
    private static final long AGENT_OBSERVATION_INTERVAL_MILLIS = 1_000L;

    /** The maximum number of requests that run at the same time. */
    private static final int MAX_RUNNING_REQUESTS = 192;

    /** The maximum number of calls in flight that request the state of attempts or cancel them. */
    private static final int MAX_STATE_AND_CANCEL_CALLS = 64;

    /** The maximum number of calls in flight that claim request identifiers. */
    private static final int MAX_CLAIM_CALLS = 64;

    /** The number of requests that can be explained. */
    private static final int MAX_RECENT_TRAILS = 2_000;

    /** The maximum total size of the bodies of unfinished requests. */
    private static final long MAX_UNFINISHED_BODY_BYTES = 24L << 20;

    /** The limits on queued requests: in all, per customer, and of the bodies in bytes. */
    private static final AdmissionLimits QUEUE_LIMITS = new AdmissionLimits(1_024, 512, 16L << 20);

    /**
     * The interval at which queued requests are started or refused; also the retry time of a
     * refusal during the shutdown.
     */
    private static final long QUEUE_CHECK_INTERVAL_MILLIS = 20;

    /** The interval at which idle connections are closed, so that old ones are not reused. */
    private static final long CLOSE_IDLE_INTERVAL_SECONDS = 10;

    /**
     * The time during the shutdown for which the entry reports that it is not ready and still
     * accepts requests.
     */
    private static final long NOT_READY_GRACE_MILLIS = 1_000;

    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

    /** The time for which the drain continues after the last unfinished request has ended. */
    private static final long FINAL_DRAIN_DELAY_MILLIS = 500;

    private final Supplier<ConfigurationDocument> config;
    private final Metrics metrics;
    private final String member;
    private final RequestContext context;
    private final RecentRequestTrails recentTrails = new RecentRequestTrails(MAX_RECENT_TRAILS);
    private final AdmissionQueue<PendingRequest> queue;
    private final ScheduledExecutorService timer = Timers.singleThread("request-timer");
    private long unfinishedBodyBytes;
    private int unfinishedRequests;

    /** Whether the shutdown has started, so the entry is not ready. */
    private volatile boolean stopping;

    /** Whether new requests are refused because of the shutdown. */
    private volatile boolean refusingRequests;

    /** Holds an unfinished request and the future of its result; equal only to itself. */
    private static final class PendingRequest {
        private final RequestRun run;
        private final CompletableFuture<RequestResult> result = new CompletableFuture<>();

        private PendingRequest(RequestRun run) {
            this.run = run;
        }
    }

    /**
     * Creates the service.
     *
     * @param member the identifier of this process, not null
     * @param incarnation the incarnation of this process, not negative
     * @param zone the availability zone of this process, not null
     * @param agents supplies the agents that have announced themselves, not null
     * @param config supplies the configuration in force, not null
     * @param metrics the metrics of this process, not null
     */
    public RequestService(
            String member,
            long incarnation,
            String zone,
            Supplier<List<Member>> agents,
            Supplier<ConfigurationDocument> config,
            Metrics metrics) {
        this.member = Objects.requireNonNull(member, "member");
        this.config = Objects.requireNonNull(config, "config");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        UpstreamPool pool =
                new UpstreamPool(
                        agents,
                        this::isZoneInService,
                        zone,
                        SelectionPolicy.EXPECTED_COMPLETION,
                        System::nanoTime);
        AttemptClient client =
                new AttemptClient(
                        MAX_RUNNING_REQUESTS, MAX_STATE_AND_CANCEL_CALLS, pool::updateStatus);
        ClaimClient claimClient = new ClaimClient(agents, MAX_CLAIM_CALLS);
        // The issuer of an attempt identifier can have only these characters.
        String issuer = member.replaceAll("[^A-Za-z0-9_-]", "-");
        context =
                new RequestContext(
                        issuer,
                        incarnation,
                        new AtomicLong(),
                        pool,
                        client,
                        claimClient,
                        timer,
                        metrics);
        queue = new AdmissionQueue<>(QUEUE_LIMITS, this::guaranteedShare);
        queue.setSlots(MAX_RUNNING_REQUESTS);
    }

    /**
     * Tests whether callers should send new requests to this entry.
     *
     * @return false from the start of the shutdown
     */
    public boolean isReady() {
        return !stopping;
    }

    /**
     * Returns the recorded processing steps of a recent request.
     *
     * @param requestId the identifier of the request, may be null
     * @return the explanation, or empty if this entry has no trail of the request
     */
    public Optional<ExplanationReport> explain(String requestId) {
        return recentTrails.find(requestId).map(RequestTrail::explain);
    }

    @Override
    public void registerRoutes(HttpServer server) {
        server.route("POST", "/v1/classes/{class}/requests", this::handleRequest);
    }

    @Override
    public void start(String address) {
        timer.scheduleWithFixedDelay(
                context.claims()::recordFirstIncarnations,
                0,
                AGENT_OBSERVATION_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                this::startQueuedRequests,
                QUEUE_CHECK_INTERVAL_MILLIS,
                QUEUE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                this::closeIdleConnections,
                CLOSE_IDLE_INTERVAL_SECONDS,
                CLOSE_IDLE_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
    }

    @Override
    public void drain() {
        stopping = true;
        try {
            Thread.sleep(NOT_READY_GRACE_MILLIS);
            refusingRequests = true;
            while (unfinishedRequests() > 0) {
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
        context.client().close();
        context.claims().close();
    }

    private CompletableFuture<HttpServerResponse> handleRequest(HttpCall call) {
        try {
            RequestInput input = RequestInput.read(call, config.get(), System.nanoTime());
            return admit(input, call).thenApply(RequestResult::toCallerResponse);
        } catch (SchedulerException e) {
            metrics.countRefusal(e.type());
            HttpServerResponse httpResponse = HttpServerResponse.failure(e);
            String id = call.header(Headers.REQUEST_ID).orElse(null);
            return CompletableFuture.completedFuture(
                    id == null ? httpResponse : httpResponse.withHeader(Headers.REQUEST_ID, id));
        }
    }

    private CompletableFuture<RequestResult> admit(RequestInput input, HttpCall call) {
        if (refusingRequests) {
            throw new SchedulerException(
                    FailureType.SHUTTING_DOWN,
                    "the entry is shutting down",
                    QUEUE_CHECK_INTERVAL_MILLIS);
        }
        recentTrails.requireSameDigest(input);
        RequestTrail trail = new RequestTrail(member, input);
        PendingRequest pending = new PendingRequest(new RequestRun(input, context, trail));
        synchronized (this) {
            enqueue(toQueuedAttempt(pending), input);
            unfinishedRequests++;
        }
        recentTrails.add(trail);
        call.onDisconnect(() -> onCallerDisconnect(pending));
        metrics.count("requests.accepted");
        startQueuedRequests();
        return pending.result;
    }

    /** Adds an attempt to the queue; the caller holds the lock. */
    private void enqueue(QueuedAttempt<PendingRequest> queued, RequestInput input) {
        if (unfinishedBodyBytes + input.body().length > MAX_UNFINISHED_BODY_BYTES) {
            throw new SchedulerException(
                    FailureType.OVERLOADED,
                    "the bodies of unfinished requests have "
                            + unfinishedBodyBytes
                            + " bytes; with "
                            + input.body().length
                            + " bytes more they would exceed the limit of "
                            + MAX_UNFINISHED_BODY_BYTES,
                    queue.backlogMillis());
        }
        try {
            queue.offer(queued, System.nanoTime());
        } catch (SchedulerException e) {
            // In this queue, the type means that the entry is full.
            if (e.type() == FailureType.UPSTREAM_FULL) {
                throw new SchedulerException(
                        FailureType.OVERLOADED, e.getMessage(), e.retryAfterMillis());
            }
            throw e;
        }
        unfinishedBodyBytes += input.body().length;
    }

    private QueuedAttempt<PendingRequest> toQueuedAttempt(PendingRequest pending) {
        RequestInput input = pending.run.input();
        return new QueuedAttempt<>(
                pending,
                input.customer(),
                input.serviceClass().name(),
                input.serviceClass().priority(),
                input.deadlineNanos(),
                input.body().length);
    }

    private void startQueuedRequests() {
        try {
            for (var queued : removeWithUnreachableDeadline()) {
                refuseForDeadline(queued);
            }
            for (var next = pollQueue(); next.isPresent(); next = pollQueue()) {
                startRun(next.get());
            }
        } catch (RuntimeException e) {
            Logger.error(e, "event=requests-not-started");
        }
    }

    private synchronized List<QueuedAttempt<PendingRequest>> removeWithUnreachableDeadline() {
        return queue.removeWithUnreachableDeadline(System.nanoTime());
    }

    private synchronized Optional<QueuedAttempt<PendingRequest>> pollQueue() {
        return queue.poll();
    }

    private void refuseForDeadline(QueuedAttempt<PendingRequest> queued) {
        RequestInput input = queued.work().run.input();
        metrics.countRefusal(FailureType.DEADLINE_UNREACHABLE);
        long retryAfterMillis;
        synchronized (this) {
            retryAfterMillis = queue.backlogMillis();
            release(input);
        }
        SchedulerException failure =
                new SchedulerException(
                        FailureType.DEADLINE_UNREACHABLE,
                        "the request was queued at the entry until its deadline was unreachable",
                        retryAfterMillis);
        queued.work().result.complete(new RequestResult(input.id(), null, null, 0, failure));
    }

    private void onCallerDisconnect(PendingRequest pending) {
        boolean removed;
        synchronized (this) {
            removed = queue.remove(toQueuedAttempt(pending));
            if (removed) {
                release(pending.run.input());
            }
        }
        pending.run.onCallerDisconnect();
        if (removed) {
            SchedulerException failure =
                    new SchedulerException(
                            FailureType.ATTEMPT_CANCELLED, "the caller closed its connection");
            String id = pending.run.input().id();
            pending.result.complete(new RequestResult(id, null, null, 0, failure));
        }
    }

    private void startRun(QueuedAttempt<PendingRequest> queued) {
        long startedNanos = System.nanoTime();
        queued.work()
                .run
                .start()
                .thenAccept(result -> finish(queued, result, System.nanoTime() - startedNanos));
    }

    private void finish(
            QueuedAttempt<PendingRequest> queued, RequestResult result, long elapsedNanos) {
        synchronized (this) {
            queue.finish(queued, elapsedNanos, result.response() != null, System.nanoTime());
            release(queued.work().run.input());
        }
        if (result.response() != null) {
            metrics.timer("requests.answered").update(elapsedNanos, TimeUnit.NANOSECONDS);
        }
        queued.work().result.complete(result);
        startQueuedRequests();
    }

    /** Removes a request from the unfinished ones; the caller holds the lock. */
    private void release(RequestInput input) {
        unfinishedBodyBytes -= input.body().length;
        unfinishedRequests--;
    }

    private synchronized int unfinishedRequests() {
        return unfinishedRequests;
    }

    private void closeIdleConnections() {
        context.client().closeIdleConnections();
        context.claims().closeIdleConnections();
    }

    private boolean isZoneInService(String zone) {
        return config.get()
                .zone(zone)
                .filter(configured -> configured.state() == ZoneState.IN)
                .isPresent();
    }

    private double guaranteedShare(String customer) {
        return config.get().customer(customer).map(CustomerPolicy::guaranteedShare).orElse(0.0);
    }
}
