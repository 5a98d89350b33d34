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
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
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

/** Serves the requests of callers. */
public final class RequestService implements Service {
    private static final long OBSERVE_MILLIS = 1_000L;
    private static final int MAX_RUNNING = 192;
    private static final int MAX_QUESTIONS = 64;
    private static final int MAX_CLAIM_CALLS = 64;
    private static final int JOURNAL_SIZE = 2_000;
    private static final long MAX_RUNNING_BYTES = 24L << 20;
    private static final AdmissionLimits LIMITS = new AdmissionLimits(1_024, 512, 16L << 20);
    private static final long SWEEP_MILLIS = 20;
    private static final long RETIRE_SECONDS = 10;
    private static final long READINESS_GRACE_MILLIS = 1_000;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long DRAIN_LINGER_MILLIS = 500;

    private final Supplier<ConfigurationDocument> config;
    private final Metrics metrics;
    private final String member;
    private final RequestContext context;
    private final RequestJournal journal = new RequestJournal(JOURNAL_SIZE);
    private final AdmissionQueue<Waiting> queue;
    private final ScheduledExecutorService timer = Timers.singleThread("request-timer");
    private long runningBytes;
    private int unfinished;
    private volatile boolean leaving;
    private volatile boolean draining;

    /** Is a request that waits for its turn at this entry; equal only to itself. */
    private static final class Waiting {
        private final RequestRun run;
        private final CompletableFuture<RequestResult> result = new CompletableFuture<>();

        private Waiting(RequestRun run) {
            this.run = run;
        }
    }

    /**
     * Creates the service.
     *
     * @param member the identifier of this process, not null
     * @param incarnation the incarnation of this process, not negative
     * @param zone the availability zone of this process, not null
     * @param agents lists the agents that have announced themselves, not null
     * @param config the configuration in force, not null
     * @param metrics takes the counts, not null
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
                        this::isZoneIn,
                        zone,
                        SelectionPolicy.EXPECTED_COMPLETION,
                        System::nanoTime);
        AttemptClient client = new AttemptClient(MAX_RUNNING, MAX_QUESTIONS, pool::note);
        ClaimClient claims = new ClaimClient(agents, MAX_CLAIM_CALLS);
        String issuer = member.replaceAll("[^A-Za-z0-9_-]", "-");
        context =
                new RequestContext(
                        issuer,
                        incarnation,
                        new AtomicLong(),
                        pool,
                        client,
                        claims,
                        timer,
                        metrics);
        queue = new AdmissionQueue<>(LIMITS, this::guaranteedShare);
        queue.setSlots(MAX_RUNNING);
    }

    /**
     * Tells whether the entry takes new requests.
     *
     * @return false from the moment at which it is told to stop
     */
    public boolean isReady() {
        return !leaving;
    }

    /**
     * Explains the way of a recent request.
     *
     * @param request the identifier of the request, may be null
     * @return the explanation, or empty if the request is not known here
     */
    public Optional<ExplanationReport> explain(String request) {
        return journal.find(request).map(RequestTrail::explain);
    }

    @Override
    public void routes(HttpServer server) {
        server.route("POST", "/v1/classes/{class}/requests", this::request);
    }

    @Override
    public void start(String address) {
        timer.scheduleWithFixedDelay(
                context.claims()::observeAgents, 0, OBSERVE_MILLIS, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                this::startNext, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                this::retireConnections, RETIRE_SECONDS, RETIRE_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void drain() {
        leaving = true;
        try {
            Thread.sleep(READINESS_GRACE_MILLIS);
            draining = true;
            while (unfinished() > 0) {
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
        context.client().close();
        context.claims().close();
    }

    private CompletableFuture<HttpReply> request(HttpCall call) {
        try {
            RequestInput input = RequestInput.read(call, config.get(), System.nanoTime());
            return admit(input, call).thenApply(RequestResult::reply);
        } catch (SchedulerException e) {
            metrics.countRefusal(e.type());
            HttpReply reply = HttpReply.failure(e);
            String id = call.header(Headers.REQUEST_ID).orElse(null);
            return CompletableFuture.completedFuture(
                    id == null ? reply : reply.withHeader(Headers.REQUEST_ID, id));
        }
    }

    private CompletableFuture<RequestResult> admit(RequestInput input, HttpCall call) {
        if (draining) {
            throw new SchedulerException(
                    FailureType.SHUTTING_DOWN, "the entry is shutting down", SWEEP_MILLIS);
        }
        journal.requireSameRequest(input);
        RequestTrail trail = new RequestTrail(member, input);
        Waiting waiting = new Waiting(new RequestRun(input, context, trail));
        synchronized (this) {
            offer(queued(waiting), input);
            unfinished++;
        }
        journal.add(trail);
        call.onDisconnect(() -> callerGone(waiting));
        metrics.count("requests.accepted");
        startNext();
        return waiting.result;
    }

    private void offer(QueuedAttempt<Waiting> queued, RequestInput input) {
        if (runningBytes + input.body().length > MAX_RUNNING_BYTES) {
            throw new SchedulerException(
                    FailureType.OVERLOADED, "too many bytes in progress", queue.backlogMillis());
        }
        try {
            queue.offer(queued, System.nanoTime());
        } catch (SchedulerException e) {
            if (e.type() == FailureType.UPSTREAM_FULL) {
                throw new SchedulerException(
                        FailureType.OVERLOADED, e.getMessage(), e.retryAfterMillis());
            }
            throw e;
        }
        runningBytes += input.body().length;
    }

    private QueuedAttempt<Waiting> queued(Waiting waiting) {
        RequestInput input = waiting.run.input();
        return new QueuedAttempt<>(
                waiting,
                input.customer(),
                input.serviceClass().name(),
                input.serviceClass().priority(),
                input.deadlineNanos(),
                input.body().length);
    }

    private void startNext() {
        try {
            for (var late : removeLate()) {
                refuse(late);
            }
            for (var next = poll(); next.isPresent(); next = poll()) {
                run(next.get());
            }
        } catch (RuntimeException e) {
            Logger.error(e, "event=requests-not-started");
        }
    }

    private synchronized List<QueuedAttempt<Waiting>> removeLate() {
        return queue.removeWithUnreachableDeadline(System.nanoTime());
    }

    private synchronized Optional<QueuedAttempt<Waiting>> poll() {
        return queue.poll();
    }

    private void refuse(QueuedAttempt<Waiting> late) {
        RequestInput input = late.work().run.input();
        metrics.countRefusal(FailureType.DEADLINE_UNREACHABLE);
        long retryAfter;
        synchronized (this) {
            retryAfter = queue.backlogMillis();
            release(input);
        }
        SchedulerException failure =
                new SchedulerException(
                        FailureType.DEADLINE_UNREACHABLE,
                        "waited at the entry until the deadline could not be met",
                        retryAfter);
        late.work().result.complete(new RequestResult(input.id(), null, null, 0, failure));
    }

    private void callerGone(Waiting waiting) {
        boolean removed;
        synchronized (this) {
            removed = queue.remove(queued(waiting));
            if (removed) {
                release(waiting.run.input());
            }
        }
        waiting.run.callerGone();
        if (removed) {
            SchedulerException failure =
                    new SchedulerException(FailureType.ATTEMPT_CANCELLED, "the caller went away");
            String id = waiting.run.input().id();
            waiting.result.complete(new RequestResult(id, null, null, 0, failure));
        }
    }

    private void run(QueuedAttempt<Waiting> next) {
        long startedNanos = System.nanoTime();
        next.work()
                .run
                .start()
                .thenAccept(result -> finish(next, result, System.nanoTime() - startedNanos));
    }

    private void finish(QueuedAttempt<Waiting> ended, RequestResult result, long elapsedNanos) {
        synchronized (this) {
            queue.finish(ended, elapsedNanos, result.answer() != null, System.nanoTime());
            release(ended.work().run.input());
        }
        if (result.answer() != null) {
            metrics.timer("requests.answered").update(elapsedNanos, TimeUnit.NANOSECONDS);
        }
        ended.work().result.complete(result);
        startNext();
    }

    private void release(RequestInput input) {
        runningBytes -= input.body().length;
        unfinished--;
    }

    private synchronized int unfinished() {
        return unfinished;
    }

    private void retireConnections() {
        context.client().retireConnections();
        context.claims().retireConnections();
    }

    private boolean isZoneIn(String zone) {
        return config.get().zone(zone).filter(z -> z.state() == ZoneState.IN).isPresent();
    }

    private double guaranteedShare(String customer) {
        return config.get().customer(customer).map(CustomerPolicy::guaranteedShare).orElse(0.0);
    }
}
