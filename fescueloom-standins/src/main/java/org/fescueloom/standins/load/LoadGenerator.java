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
 * Makes load with planned arrival times and checks each answer against its own request.
 *
 * <p>A time runs from the planned arrival, also when the tool sends late, so that slow answers do
 * not hide the waiting of later requests (coordinated omission).
 */
public final class LoadGenerator {
    private static final int MAX_IN_FLIGHT = 4_000;
    private static final Duration CALL_LIMIT = Duration.ofSeconds(60L);
    private static final int GIVE_UP_TARGETS = 2;
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final LoadPlan plan;
    private final int slotsPerTarget;
    private final Random random;
    private final int[] inFlight;
    private final int[] running;
    private final Deque<Planned>[] waiting;
    private final Histogram answeredMicros = new Histogram(DIGITS);
    private final Histogram refusedMicros = new Histogram(DIGITS);
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final CountDownLatch left;
    private final OkHttpClient client;
    private int answered;
    private int wrong;
    private int inTime;

    /**
     * Creates a generator for one run.
     *
     * @param plan the load, not null
     * @param slotsPerTarget how many requests a direct target serves at once; more wait in the tool
     */
    @SuppressWarnings({"unchecked", "rawtypes"})
    public LoadGenerator(LoadPlan plan, int slotsPerTarget) {
        this.plan = plan;
        this.slotsPerTarget = plan.routing().isDirect() ? slotsPerTarget : Integer.MAX_VALUE;
        random = new Random(plan.seed());
        inFlight = new int[plan.targets().size()];
        running = new int[inFlight.length];
        waiting = new Deque[inFlight.length];
        Arrays.setAll(waiting, i -> new ArrayDeque<Planned>());
        left = new CountDownLatch(plan.count());
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_IN_FLIGHT);
        dispatcher.setMaxRequestsPerHost(MAX_IN_FLIGHT);
        client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .callTimeout(CALL_LIMIT)
                        .readTimeout(CALL_LIMIT)
                        .retryOnConnectionFailure(false)
                        .build();
    }

    /**
     * Makes the load and waits for the last end.
     *
     * @return what was measured, never null
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public LoadResult run() throws InterruptedException {
        long start = System.nanoTime();
        for (int i = 0; i < plan.count(); i++) {
            long due = start + dueNanos(i);
            waitUntil(due);
            arrive(i, due);
        }
        left.await();
        double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1L);
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
        return result(seconds);
    }

    private long dueNanos(int index) {
        double seconds = plan.perSecond() == 0.0 ? 0.0 : index / plan.perSecond();
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1L));
    }

    private static void waitUntil(long due) {
        for (long wait = due - System.nanoTime(); wait > 0L; wait = due - System.nanoTime()) {
            LockSupport.parkNanos(wait);
        }
    }

    private void arrive(int index, long due) {
        Planned planned;
        boolean free;
        synchronized (this) {
            int target = plan.routing().choose(inFlight, index, random);
            byte[] body = new byte[random.nextInt(plan.maxBodyBytes() + 1)];
            random.nextBytes(body);
            planned = new Planned(index, target, due, body);
            inFlight[target]++;
            free = running[target] < slotsPerTarget;
            if (free) {
                running[target]++;
            } else {
                waiting[target].addLast(planned);
            }
        }
        if (free) {
            send(planned);
        }
    }

    private void send(Planned planned) {
        long waitedNanos = System.nanoTime() - planned.dueNanos();
        if (plan.routing().isDirect() && waitedNanos > giveUpNanos()) {
            client.dispatcher().executorService().execute(() -> end(planned, "given-up", null));
            return;
        }
        String customer = plan.customers().get(planned.index() % plan.customers().size());
        String id = "load-" + plan.seed() + "-" + planned.index();
        Request request =
                new Request.Builder()
                        .url(
                                "http://"
                                        + plan.targets().get(planned.target())
                                        + "/v1/classes/"
                                        + plan.serviceClass()
                                        + "/requests")
                        .header(Headers.REQUEST_ID, id)
                        .header(Headers.CUSTOMER, customer)
                        .header(Headers.IDEMPOTENT, "true")
                        .post(RequestBody.create(planned.body()))
                        .build();
        client.newCall(request).enqueue(new EndReader(planned));
    }

    /** Returns how long a request waits in the tool for a direct target. */
    private long giveUpNanos() {
        return GIVE_UP_TARGETS * TimeUnit.MILLISECONDS.toNanos(plan.targetMillis());
    }

    private void end(Planned planned, String outcome, byte[] body) {
        long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned.dueNanos());
        Planned next;
        synchronized (this) {
            note(planned, outcome, body, micros);
            inFlight[planned.target()]--;
            next = waiting[planned.target()].pollFirst();
            if (next == null) {
                running[planned.target()]--;
            }
        }
        if (next != null) {
            send(next);
        }
        left.countDown();
    }

    private void note(Planned planned, String outcome, byte[] body, long micros) {
        boolean own = body != null && Arrays.equals(body, planned.body());
        outcomes.merge(body != null && !own ? "wrong-answer" : outcome, 1, Integer::sum);
        if (body == null) {
            refusedMicros.recordValue(micros);
        } else if (own) {
            answered++;
            answeredMicros.recordValue(micros);
            inTime += micros <= TimeUnit.MILLISECONDS.toMicros(plan.targetMillis()) ? 1 : 0;
        } else {
            wrong++;
        }
    }

    private synchronized LoadResult result(double seconds) {
        return new LoadResult(
                plan.seed(),
                plan.count(),
                answered,
                wrong,
                inTime,
                seconds,
                outcomes,
                millis(answeredMicros, 50.0),
                millis(answeredMicros, 90.0),
                millis(answeredMicros, 99.0),
                millis(answeredMicros, 100.0),
                millis(refusedMicros, 50.0),
                millis(refusedMicros, 99.0));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private static String failure(int status, byte[] body) {
        try {
            JsonNode type = Json.read(body, JsonNode.class).get("error");
            return status + " " + (type == null ? "?" : type.asText());
        } catch (RuntimeException e) {
            return status + " untyped";
        }
    }

    private record Planned(int index, int target, long dueNanos, byte[] body) {}

    private final class EndReader implements Callback {
        private final Planned planned;

        EndReader(Planned planned) {
            this.planned = planned;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            end(planned, e.getClass().getSimpleName(), null);
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                byte[] body = response.body().bytes();
                if (response.code() == 200) {
                    end(planned, "200", body);
                } else {
                    end(planned, failure(response.code(), body), null);
                }
            } catch (IOException e) {
                end(planned, "cut " + e.getClass().getSimpleName(), null);
            }
        }
    }
}
