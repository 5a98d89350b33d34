package org.fescueloom.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.Histogram;
import org.fescueloom.json.Json;
import org.fescueloom.wire.Headers;

/**
 * Sends requests at planned arrival times and compares the body of each response with that of its
 * request: an upstream returns the body of the request, so a different body belongs to another
 * request.
 *
 * <p>Latencies are measured from the planned arrival, even if a request is sent later. Otherwise
 * slow responses would hide the waiting time of later requests (coordinated omission).
 */
public final class LoadGenerator {
    private static final int MAX_CONCURRENT_CALLS = 4_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60L);

    /**
     * The longest time between the planned arrival of a request and a free slot of an upstream, as
     * a multiple of the latency limit of the plan. The generator gives up requests that waited
     * longer.
     */
    private static final int MAX_SLOT_WAIT_MULTIPLE = 2;

    /** The number of significant decimal digits that the histograms keep. */
    private static final int HISTOGRAM_DIGITS = 3;

    private static final double MICROS_PER_MILLI = 1_000.0;

    private final LoadPlan plan;
    private final int slotsPerTarget;
    private final Random random;

    /** For each target, the number of requests that wait or that were sent, and have not ended. */
    private final int[] inFlight;

    /**
     * For each target, the number of occupied slots. A request that does not wait occupies a slot
     * of its target until it has ended.
     */
    private final int[] occupiedSlots;

    /** For each target, the requests that wait for a free slot. */
    private final Deque<PlannedRequest>[] waitingRequests;

    private final Histogram answeredMicros = new Histogram(HISTOGRAM_DIGITS);

    /**
     * The latencies of all requests without a response of status 200. Responses with a wrong body
     * count in neither histogram.
     */
    private final Histogram unansweredMicros = new Histogram(HISTOGRAM_DIGITS);

    /**
     * The number of requests by outcome: the status 200; another status followed by the failure
     * type, by "?" if the body has no failure type, or by "untyped" if the body is not JSON; the
     * class name of an exception, after "cut" if it occurred while the body was read; "given-up";
     * "wrong-answer".
     */
    private final Map<String, Integer> outcomes = new TreeMap<>();

    private final CountDownLatch unfinishedRequests;
    private final OkHttpClient client;
    private int answered;
    private int wrongAnswers;
    private int inTime;

    /**
     * Creates a generator for one run.
     *
     * @param plan the load, not null
     * @param slotsPerTarget the number of requests that may be in progress at an upstream at the
     *     same time; further requests wait in the generator; ignored if the targets are entries
     */
    @SuppressWarnings({"unchecked", "rawtypes"})
    public LoadGenerator(LoadPlan plan, int slotsPerTarget) {
        this.plan = plan;
        this.slotsPerTarget = plan.routing().isDirect() ? slotsPerTarget : Integer.MAX_VALUE;
        random = new Random(plan.seed());
        inFlight = new int[plan.targets().size()];
        occupiedSlots = new int[inFlight.length];
        waitingRequests = new Deque[inFlight.length];
        Arrays.setAll(waitingRequests, i -> new ArrayDeque<PlannedRequest>());
        unfinishedRequests = new CountDownLatch(plan.requestCount());
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
        client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .callTimeout(CALL_TIMEOUT)
                        .readTimeout(CALL_TIMEOUT)
                        .retryOnConnectionFailure(false)
                        .build();
    }

    /**
     * Sends all requests and waits until the last one has ended.
     *
     * @return the measured counts and latencies, never null
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public LoadResult run() throws InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < plan.requestCount(); i++) {
            long plannedArrivalNanos = startNanos + arrivalDelayNanos(i);
            waitUntil(plannedArrivalNanos);
            handleArrival(i, plannedArrivalNanos);
        }
        unfinishedRequests.await();
        double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1L);
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
        return result(seconds);
    }

    /** Returns the planned arrival of a request, relative to the start of the run. */
    private long arrivalDelayNanos(int index) {
        double seconds = plan.requestsPerSecond() == 0.0 ? 0.0 : index / plan.requestsPerSecond();
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1L));
    }

    private static void waitUntil(long plannedArrivalNanos) {
        for (long waitNanos = plannedArrivalNanos - System.nanoTime();
                waitNanos > 0L;
                waitNanos = plannedArrivalNanos - System.nanoTime()) {
            LockSupport.parkNanos(waitNanos);
        }
    }

    private void handleArrival(int index, long plannedArrivalNanos) {
        PlannedRequest planned;
        boolean hasFreeSlot;
        synchronized (this) {
            int target = plan.routing().chooseTarget(inFlight, index, random);
            byte[] body = new byte[random.nextInt(plan.maxBodyBytes() + 1)];
            random.nextBytes(body);
            planned = new PlannedRequest(index, target, plannedArrivalNanos, body);
            inFlight[target]++;
            hasFreeSlot = occupiedSlots[target] < slotsPerTarget;
            if (hasFreeSlot) {
                occupiedSlots[target]++;
            } else {
                waitingRequests[target].addLast(planned);
            }
        }
        if (hasFreeSlot) {
            send(planned);
        }
    }

    private void send(PlannedRequest planned) {
        long waitedNanos = System.nanoTime() - planned.plannedArrivalNanos();
        if (plan.routing().isDirect() && waitedNanos > maxSlotWaitNanos()) {
            // On another thread, because finish sends the next waiting request: a direct call would
            // nest one call for each waiting request.
            client.dispatcher().executorService().execute(() -> finish(planned, "given-up", null));
            return;
        }
        String customer = plan.customers().get(planned.index() % plan.customers().size());
        String requestId = "load-" + plan.seed() + "-" + planned.index();
        Request request =
                new Request.Builder()
                        .url(
                                "http://"
                                        + plan.targets().get(planned.target())
                                        + "/v1/classes/"
                                        + plan.serviceClass()
                                        + "/requests")
                        .header(Headers.REQUEST_ID, requestId)
                        .header(Headers.CUSTOMER, customer)
                        .header(Headers.IDEMPOTENT, "true")
                        .post(RequestBody.create(planned.body()))
                        .build();
        client.newCall(request).enqueue(new ResponseCallback(planned));
    }

    /** Returns the longest time that a request waits for a slot of an upstream. */
    private long maxSlotWaitNanos() {
        return MAX_SLOT_WAIT_MULTIPLE * TimeUnit.MILLISECONDS.toNanos(plan.latencyLimitMillis());
    }

    /**
     * Records the end of a request and sends the next waiting request to the same target, which
     * takes over the slot.
     *
     * @param body the body of a response with status 200; null for every other outcome
     */
    private void finish(PlannedRequest planned, String outcome, byte[] body) {
        long micros =
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned.plannedArrivalNanos());
        PlannedRequest next;
        synchronized (this) {
            recordOutcome(planned, outcome, body, micros);
            inFlight[planned.target()]--;
            next = waitingRequests[planned.target()].pollFirst();
            if (next == null) {
                occupiedSlots[planned.target()]--;
            }
        }
        if (next != null) {
            send(next);
        }
        unfinishedRequests.countDown();
    }

    private void recordOutcome(PlannedRequest planned, String outcome, byte[] body, long micros) {
        boolean matchesRequest = body != null && Arrays.equals(body, planned.body());
        outcomes.merge(body != null && !matchesRequest ? "wrong-answer" : outcome, 1, Integer::sum);
        if (body == null) {
            unansweredMicros.recordValue(micros);
        } else if (matchesRequest) {
            answered++;
            answeredMicros.recordValue(micros);
            inTime += micros <= TimeUnit.MILLISECONDS.toMicros(plan.latencyLimitMillis()) ? 1 : 0;
        } else {
            wrongAnswers++;
        }
    }

    private synchronized LoadResult result(double seconds) {
        return new LoadResult(
                plan.seed(),
                plan.requestCount(),
                answered,
                wrongAnswers,
                inTime,
                seconds,
                outcomes,
                millis(answeredMicros, 50.0),
                millis(answeredMicros, 90.0),
                millis(answeredMicros, 99.0),
                millis(answeredMicros, 100.0),
                millis(unansweredMicros, 50.0),
                millis(unansweredMicros, 99.0));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns the outcome of a response without status 200: the status and the failure type. */
    private static String failureOutcome(int status, byte[] body) {
        try {
            JsonNode type = Json.read(body, JsonNode.class).get("error");
            return status + " " + (type == null ? "?" : type.asText());
        } catch (RuntimeException e) {
            return status + " untyped";
        }
    }

    /**
     * Holds one request of the plan.
     *
     * @param index the number of the request in the order of arrival, from 0
     * @param target the index of the target
     * @param dueNanos the planned arrival on the monotonic clock, in nanoseconds
     * @param body the body of the request
     */
    private record PlannedRequest(int index, int target, long plannedArrivalNanos, byte[] body) {}

    private final class ResponseCallback implements Callback {
        private final PlannedRequest planned;

        ResponseCallback(PlannedRequest planned) {
            this.planned = planned;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            finish(planned, e.getClass().getSimpleName(), null);
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                byte[] body = response.body().bytes();
                if (response.code() == 200) {
                    finish(planned, "200", body);
                } else {
                    finish(planned, failureOutcome(response.code(), body), null);
                }
            } catch (IOException e) {
                finish(planned, "cut " + e.getClass().getSimpleName(), null);
            }
        }
    }
}
