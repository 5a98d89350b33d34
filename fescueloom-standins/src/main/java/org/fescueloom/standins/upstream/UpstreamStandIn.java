package org.fescueloom.standins.upstream;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.fescueloom.failure.FailureType;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.FaultPlan;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.StandIn;
import org.fescueloom.standins.StandInReply;
import org.fescueloom.standins.StandInReply.Form;
import org.fescueloom.standins.StandInRequest;
import org.fescueloom.wire.Headers;
import org.fescueloom.wire.UpstreamRegistration;

/** Stands in for an upstream: echoes each body after a service time and records each run. */
public final class UpstreamStandIn extends StandIn {
    private static final long REGISTER_MILLIS = 1_000L;
    private static final long DRAIN_POLL_MILLIS = 20L;

    /** How many polls in a row must find nothing running, so that the last answers get out. */
    private static final int IDLE_POLLS = 25;

    private static final int FAILED = 500;

    private final UpstreamProfile profile;
    private final RunLedger ledger;
    private final UpstreamRegistrar registrar;
    private final Random random;
    private final AtomicReference<StandInReply> earlier = new AtomicReference<>();
    private volatile double speed;
    private volatile boolean leaving;

    /**
     * Creates an upstream that does not listen yet.
     *
     * @param listen where it will listen, not null
     * @param profile its name and how it serves, not null
     */
    public UpstreamStandIn(ListenAddress listen, UpstreamProfile profile) {
        super(listen);
        this.profile = profile;
        speed = profile.speed();
        random = new Random(profile.seed());
        ledger = new RunLedger(profile.id(), profile.slots(), profile.records());
        registrar = new UpstreamRegistrar(profile.agent());
        server().route("POST", "/v1/classes/{class}/requests", this::serve);
        server().plain("PUT", "/speed", this::replaceSpeed);
    }

    @Override
    public void start() {
        super.start();
        server().timers()
                .scheduleAtFixedRate(this::register, 0L, REGISTER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets how fast this upstream serves from now on.
     *
     * @param factor how many times faster than at speed 1, above 0
     * @throws IllegalArgumentException if the factor is not above 0
     */
    public void speed(double factor) {
        if (!(factor > 0.0)) {
            throw new IllegalArgumentException("speed must be above 0: " + factor);
        }
        speed = factor;
    }

    @Override
    public UpstreamRecords records() {
        return ledger.records();
    }

    /**
     * Tells the agent that this upstream is leaving and waits until nothing runs.
     *
     * @param limit the longest wait, not null
     * @return whether nothing runs any more
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public boolean leave(Duration limit) throws InterruptedException {
        leaving = true;
        registrar.registerAndWait(registration());
        long end = System.nanoTime() + limit.toNanos();
        int idle = 0;
        while (idle < IDLE_POLLS && System.nanoTime() < end) {
            Thread.sleep(DRAIN_POLL_MILLIS);
            idle = ledger.running() == 0 ? idle + 1 : 0;
        }
        return idle >= IDLE_POLLS;
    }

    @Override
    public void close() {
        registrar.close();
        super.close();
    }

    private void register() {
        registrar.register(registration());
    }

    private UpstreamRegistration registration() {
        return new UpstreamRegistration(
                profile.id(), address(), profile.slots(), profile.connections(), leaving);
    }

    private StandInReply replaceSpeed(StandInRequest request) {
        speed(Double.parseDouble(request.query().get("factor")));
        return StandInReply.json(200, speed);
    }

    private CompletableFuture<StandInReply> serve(StandInRequest request) {
        String attempt = request.header(Headers.ATTEMPT_ID).orElse("");
        UpstreamRun run =
                new UpstreamRun(
                        request.header(Headers.REQUEST_ID).orElse(""),
                        attempt,
                        request.pathParameter("class"),
                        System.currentTimeMillis(),
                        0L,
                        0);
        int place = ledger.begin(run);
        if (place < 0) {
            return CompletableFuture.completedFuture(
                    StandInReply.failure(
                            503, FailureType.UPSTREAM_FULL, "all slots of the upstream are taken"));
        }
        return run(request, attempt, place);
    }

    private CompletableFuture<StandInReply> run(StandInRequest request, String attempt, int place) {
        boolean fails = server().faults().meet(FaultKind.FAIL_FAST, request.path()).isPresent();
        long micros = fails ? 0L : serviceMicros(request.path());
        CompletableFuture<StandInReply> reply = new CompletableFuture<>();
        Runnable end =
                () -> {
                    ledger.end(place, fails ? FAILED : 200);
                    reply.complete(fails ? failed(attempt) : answer(request, attempt));
                };
        server().timers().schedule(end, micros, TimeUnit.MICROSECONDS);
        return reply;
    }

    private synchronized double varied() {
        return 1.0 + profile.spread() * (2.0 * random.nextDouble() - 1.0);
    }

    private long serviceMicros(String path) {
        double slower =
                server().faults().meet(FaultKind.SLOW, path).map(f -> f.factor()).orElse(1.0);
        double millis = profile.serviceMillis() * varied() * slower / speed;
        return Math.round(millis * TimeUnit.MILLISECONDS.toMicros(1L));
    }

    private static StandInReply failed(String attempt) {
        StandInReply reply =
                StandInReply.failure(
                        FAILED, FailureType.UPSTREAM_FAILED, "a fault fails every request");
        return new StandInReply(
                FAILED, echo(attempt), reply.contentType(), reply.body(), Form.WHOLE);
    }

    private StandInReply answer(StandInRequest request, String attempt) {
        String type = request.header("Content-Type").orElse("application/octet-stream");
        StandInReply own = new StandInReply(200, echo(attempt), type, request.body(), Form.WHOLE);
        StandInReply former = earlier.getAndSet(own);
        FaultPlan plan = server().faults();
        String path = request.path();
        if (plan.meet(FaultKind.NEVER_ANSWER, path).isPresent()) {
            return own.as(Form.NEVER);
        }
        if (plan.meet(FaultKind.CUT_SHORT, path).isPresent()) {
            return own.as(Form.CUT_SHORT);
        }
        if (plan.meet(FaultKind.NONSENSE, path).isPresent()) {
            return own.as(Form.NONSENSE);
        }
        if (plan.meet(FaultKind.DOUBLE_ANSWER, path).isPresent()) {
            return own.as(Form.DOUBLED);
        }
        boolean foreign = plan.meet(FaultKind.FOREIGN_ANSWER, path).isPresent();
        return foreign && former != null ? former : own;
    }

    private static Map<String, String> echo(String attempt) {
        return attempt.isEmpty() ? Map.of() : Map.of(Headers.ATTEMPT_ID, attempt);
    }
}
