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
import org.fescueloom.standins.StandInRequest;
import org.fescueloom.standins.StandInResponse;
import org.fescueloom.standins.StandInResponse.Form;
import org.fescueloom.wire.Headers;
import org.fescueloom.wire.UpstreamRegistration;

/**
 * Simulates an upstream: echoes the body of each request after a random service time and records
 * each run.
 */
public final class UpstreamStandIn extends StandIn {
    private static final long REGISTER_INTERVAL_MILLIS = 1_000L;
    private static final long DRAIN_POLL_MILLIS = 20L;

    /**
     * The number of consecutive polls that must find no run in progress. A run ends before its
     * response is sent, so the later polls leave time to send the last responses.
     */
    private static final int REQUIRED_IDLE_POLLS = 25;

    private static final int INTERNAL_SERVER_ERROR = 500;

    private final UpstreamProfile profile;
    private final RunRecorder runRecorder;
    private final UpstreamRegistrar registrar;
    private final Random random;
    private final AtomicReference<StandInResponse> lastResponse = new AtomicReference<>();
    private volatile double speed;
    private volatile boolean leaving;

    /**
     * Creates an upstream that does not listen yet.
     *
     * @param listen the address to listen on, not null
     * @param profile the properties of the upstream, not null
     */
    public UpstreamStandIn(ListenAddress listen, UpstreamProfile profile) {
        super(listen);
        this.profile = profile;
        speed = profile.speed();
        random = new Random(profile.seed());
        runRecorder = new RunRecorder(profile.id(), profile.slots(), profile.startsFile());
        registrar = new UpstreamRegistrar(profile.agentAddress());
        server().route("POST", "/v1/classes/{class}/requests", this::serve);
        server().routeWithoutFaults("PUT", "/speed", this::replaceSpeed);
    }

    @Override
    public void start() {
        super.start();
        server().timers()
                .scheduleAtFixedRate(
                        this::register, 0L, REGISTER_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the speed of the runs that start from now on.
     *
     * @param factor the factor by which the service times are divided, compared with speed 1; above
     *     0
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
        return runRecorder.records();
    }

    /**
     * Reports to the agent that this upstream is leaving and waits until no run is in progress.
     *
     * @param limit the longest time to wait, not null
     * @return true if all runs have ended, false if the limit was reached before
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public boolean leave(Duration limit) throws InterruptedException {
        leaving = true;
        registrar.registerAndWait(registration());
        long endNanos = System.nanoTime() + limit.toNanos();
        int idlePolls = 0;
        while (idlePolls < REQUIRED_IDLE_POLLS && System.nanoTime() < endNanos) {
            Thread.sleep(DRAIN_POLL_MILLIS);
            idlePolls = runRecorder.runningCount() == 0 ? idlePolls + 1 : 0;
        }
        return idlePolls >= REQUIRED_IDLE_POLLS;
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

    private StandInResponse replaceSpeed(StandInRequest request) {
        speed(Double.parseDouble(request.query().get("factor")));
        return StandInResponse.json(200, speed);
    }

    private CompletableFuture<StandInResponse> serve(StandInRequest request) {
        String attemptId = request.header(Headers.ATTEMPT_ID).orElse("");
        UpstreamRun run =
                new UpstreamRun(
                        request.header(Headers.REQUEST_ID).orElse(""),
                        attemptId,
                        request.pathParameter("class"),
                        System.currentTimeMillis(),
                        0L,
                        0);
        int runIndex = runRecorder.recordStart(run);
        if (runIndex < 0) {
            return CompletableFuture.completedFuture(
                    StandInResponse.failure(
                            503, FailureType.UPSTREAM_FULL, "all slots of the upstream are taken"));
        }
        return scheduleResponse(request, attemptId, runIndex);
    }

    private CompletableFuture<StandInResponse> scheduleResponse(
            StandInRequest request, String attemptId, int runIndex) {
        boolean failsByFault =
                server().faults().trigger(FaultKind.FAIL_FAST, request.path()).isPresent();
        long delayMicros = failsByFault ? 0L : serviceMicros(request.path());
        CompletableFuture<StandInResponse> response = new CompletableFuture<>();
        Runnable endRun =
                () -> {
                    runRecorder.recordEnd(runIndex, failsByFault ? INTERNAL_SERVER_ERROR : 200);
                    response.complete(
                            failsByFault
                                    ? failureResponse(attemptId)
                                    : echoResponse(request, attemptId));
                };
        server().timers().schedule(endRun, delayMicros, TimeUnit.MICROSECONDS);
        return response;
    }

    private synchronized double randomServiceFactor() {
        return 1.0 + profile.spread() * (2.0 * random.nextDouble() - 1.0);
    }

    private long serviceMicros(String path) {
        double slowdownFactor =
                server().faults().trigger(FaultKind.SLOW, path).map(f -> f.factor()).orElse(1.0);
        double millis =
                profile.meanServiceMillis() * randomServiceFactor() * slowdownFactor / speed;
        return Math.round(millis * TimeUnit.MILLISECONDS.toMicros(1L));
    }

    private static StandInResponse failureResponse(String attemptId) {
        StandInResponse response =
                StandInResponse.failure(
                        INTERNAL_SERVER_ERROR,
                        FailureType.UPSTREAM_FAILED,
                        "a fault fails this request");
        return new StandInResponse(
                INTERNAL_SERVER_ERROR,
                attemptHeader(attemptId),
                response.contentType(),
                response.body(),
                Form.WHOLE);
    }

    private StandInResponse echoResponse(StandInRequest request, String attemptId) {
        String contentType = request.header("Content-Type").orElse("application/octet-stream");
        StandInResponse ownResponse =
                new StandInResponse(
                        200, attemptHeader(attemptId), contentType, request.body(), Form.WHOLE);
        StandInResponse earlierResponse = lastResponse.getAndSet(ownResponse);
        FaultPlan faultPlan = server().faults();
        String path = request.path();
        if (faultPlan.trigger(FaultKind.NEVER_ANSWER, path).isPresent()) {
            return ownResponse.withForm(Form.NEVER);
        }
        if (faultPlan.trigger(FaultKind.CUT_SHORT, path).isPresent()) {
            return ownResponse.withForm(Form.CUT_SHORT);
        }
        if (faultPlan.trigger(FaultKind.NONSENSE, path).isPresent()) {
            return ownResponse.withForm(Form.NONSENSE);
        }
        if (faultPlan.trigger(FaultKind.DOUBLE_ANSWER, path).isPresent()) {
            return ownResponse.withForm(Form.DOUBLED);
        }
        boolean foreign = faultPlan.trigger(FaultKind.FOREIGN_ANSWER, path).isPresent();
        return foreign && earlierResponse != null ? earlierResponse : ownResponse;
    }

    private static Map<String, String> attemptHeader(String attemptId) {
        return attemptId.isEmpty() ? Map.of() : Map.of(Headers.ATTEMPT_ID, attemptId);
    }
}
