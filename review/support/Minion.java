import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of a minion: registers at its agent, runs tasks under a lease, lists running and
 * finished runs. A task works for the time that its spec names ("ms=900"); its first runs fail if
 * the spec says so ("fail=2"). Each task name and run
 * is noted with its life. The minion can crash and start again under its id; it then knows nothing
 * of before.
 */
final class Minion implements AutoCloseable {
    static final long STOP_MILLIS = 300;
    private static final long MAX_HOLD_MILLIS = 10_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final Pattern WORK = Pattern.compile("ms=([0-9]+)");
    private static final Pattern FIRST = Pattern.compile("first=([0-9]+)");
    private static final Pattern BEGIN = Pattern.compile("begin=([0-9]+)");
    private static final Pattern FAIL = Pattern.compile("fail=([0-9]+)");

    /** One run that a minion has begun. */
    static final class Run {
        final String minion;
        final String task;
        final int run;
        final int life;
        final long began;
        volatile long ended = -1;
        volatile String how = "";

        /** Whether a hold has named the number of this end, or a later one, as last seen. */
        volatile boolean noted;
        private long due;
        private boolean fails;

        Run(String minion, String task, int run, int life, long began) {
            this.minion = minion;
            this.task = task;
            this.run = run;
            this.life = life;
            this.began = began;
        }

        @Override
        public String toString() {
            return task + " run " + run + " on " + minion + " life " + life + " from " + began
                    + " to " + (ended < 0 ? "now" : ended + " (" + how + ")");
        }
    }

    final String id;
    private final String ip;
    private final int port;
    private final String agentAddress;
    private final String service;
    private final String zone;
    private final String rack;
    private final Recorder recorder;
    private final List<Run> allRuns;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(800))
                    .build();

    /** The number of its accelerators; set before the start. */
    int gpus = 8;

    private HttpServer server;
    private ExecutorService threads;
    private int life;
    private boolean up;
    private volatile boolean unhealthy;
    private volatile long refusedStarts;
    private long born;
    private long clockZero;
    private long sequence;
    private long token;
    private long lease;
    private long lastEnd;
    private String state;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final LinkedHashMap<Long, Run> finished = new LinkedHashMap<>();

    Minion(
            String id,
            String ip,
            int port,
            String agentAddress,
            String service,
            String zone,
            String rack,
            Recorder recorder,
            List<Run> allRuns) {
        this.id = id;
        this.ip = ip;
        this.port = port;
        this.agentAddress = agentAddress;
        this.service = service;
        this.zone = zone;
        this.rack = rack;
        this.recorder = recorder;
        this.allRuns = allRuns;
    }

    String address() {
        return ip + ":" + port;
    }

    long bornMillis() {
        return born;
    }

    /** Begins a life: empty lists, a new clock, counts from 1. */
    synchronized void start() throws IOException {
        life++;
        up = true;
        born = System.currentTimeMillis();
        clockZero = System.nanoTime() - 1_000_000L;
        sequence = 0;
        token = 0;
        lease = 0;
        lastEnd = 0;
        state = "ready";
        running.clear();
        barred.clear();
        finished.clear();
        server = HttpServer.create(new InetSocketAddress(ip, port), 200);
        threads = Executors.newCachedThreadPool(Net.daemonThreads());
        server.setExecutor(threads);
        int mine = life;
        server.createContext("/v1/run-start", x -> handle(x, mine, this::runStart));
        server.createContext("/v1/run-stop", x -> handle(x, mine, this::runStop));
        server.createContext("/v1/hold", x -> handle(x, mine, this::hold));
        server.start();
        recorder.note("minion " + id + " life " + life + " begins, born " + born);
        Thread ticks = Net.daemonThreads().newThread(() -> tick(mine));
        ticks.start();
        Thread beats = Net.daemonThreads().newThread(() -> beat(mine));
        beats.start();
    }

    /** Ends a life at once: all runs end, nothing is sent. */
    void crash() {
        HttpServer old;
        ExecutorService oldThreads;
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            long now = recorder.millis();
            for (Run run : running.values()) {
                run.ended = now;
                run.how = "lost with the minion";
            }
            running.clear();
            old = server;
            oldThreads = threads;
            notifyAll();
        }
        recorder.note("minion " + id + " crashes");
        old.stop(0);
        oldThreads.shutdownNow();
    }

    private synchronized boolean alive(int mine) {
        return up && life == mine;
    }

    private void beat(int mine) {
        // The first report of a life comes within a heartbeat interval.
        sleep(life == 1 ? 0 : new Random().nextInt((int) HEARTBEAT_MILLIS));
        while (alive(mine)) {
            sendHeartbeat(mine);
            sleep(HEARTBEAT_MILLIS);
        }
    }

    /** Sends one status report now. */
    void sendHeartbeat(int mine) {
        String body;
        synchronized (this) {
            body =
                    "{\"service\":\"" + service + "\",\"address\":\"" + address()
                            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":8,"
                            + "\"state\":\"" + state + "\",\"cold_left_ms\":0,"
                            + "\"capacity\":{\"cpu\":32000,\"mem_mb\":131072,\"gpu\":" + gpus + "},"
                            + "\"labels\":[\"a\",\"" + rack + "\"],\"clock_ms\":" + clock()
                            + ",\"seq\":" + ++sequence + ",\"born\":" + born + "}";
        }
        call("/v1/instances/" + id + "/heartbeat", body, mine);
    }

    private void call(String path, String body, int mine) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + agentAddress + path))
                            .timeout(Duration.ofMillis(1_000))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build();
            http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            // The agent is down; the next report follows.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Says from now on that it drains, and starts nothing new; tells its agent at once. */
    void drain() {
        int mine;
        synchronized (this) {
            state = "draining";
            mine = life;
        }
        recorder.note("minion " + id + " drains");
        sendHeartbeat(mine);
    }

    /**
     * Sends the deregistration of the present life on a channel that is open already; its bytes
     * arrive only after a delay, as if a partition held them up.
     *
     * @return the thread that delivers it
     */
    Thread deregister(long delayMillis) throws IOException {
        String body;
        synchronized (this) {
            body = "{\"born\":" + born + ",\"seq\":" + ++sequence + "}";
        }
        String[] address = agentAddress.split(":");
        Socket channel = new Socket(address[0], Integer.parseInt(address[1]));
        String call =
                "POST /v1/instances/" + id + "/deregister HTTP/1.1\r\nHost: " + agentAddress
                        + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body;
        recorder.note("minion " + id + " sends its deregistration " + body);
        Thread delivery =
                Net.daemonThreads()
                        .newThread(
                                () -> {
                                    sleep(delayMillis);
                                    try (channel) {
                                        recorder.note(
                                                "that deregistration of " + id
                                                        + " arrives at its agent: " + body);
                                        channel.getOutputStream()
                                                .write(call.getBytes(StandardCharsets.UTF_8));
                                        channel.setSoTimeout(1_000);
                                        channel.getInputStream().read(new byte[1_024]);
                                    } catch (IOException e) {
                                        recorder.note("the deregistration was not read: " + e);
                                    }
                                });
        delivery.start();
        return delivery;
    }

    private void tick(int mine) {
        while (alive(mine)) {
            synchronized (this) {
                endDue();
            }
            sleep(5);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long clock() {
        return (System.nanoTime() - clockZero) / 1_000_000L;
    }

    private interface Handler {
        void handle(HttpExchange x, String body) throws Exception;
    }

    private void handle(HttpExchange x, int mine, Handler handler) throws IOException {
        try {
            String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            if (!alive(mine)) {
                return;
            }
            if (!id.equals(x.getRequestHeaders().getFirst("X-Target-Instance"))) {
                Net.reply(x, 421, "{\"clock_ms\":" + clock() + "}");
                return;
            }
            handler.handle(x, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            recorder.note("minion " + id + " failed on a call: " + e);
            Net.reply(x, 400, "{\"clock_ms\":" + clock() + "}");
        } finally {
            x.close();
        }
    }

    private void conflict(HttpExchange x, String reason) throws IOException {
        Net.reply(x, 409, "{\"clock_ms\":" + clock() + ",\"reason\":\"" + reason + "\"}");
    }

    private boolean fenced(String body) {
        long given = Net.number(body, "fencing_token", 0);
        if (given < token) {
            return true;
        }
        token = given;
        return false;
    }

    private void extendLease(String body) {
        long until = Net.number(body, "deadline_ms", 0);
        lease = Math.max(lease, Math.min(until, clock() + MAX_HOLD_MILLIS));
    }

    private void runStart(HttpExchange x, String body) throws Exception {
        String task = Net.text(body, "task");
        int number = (int) Net.number(body, "run", 0);
        String refusal = null;
        synchronized (this) {
            endDue();
            if (fenced(body)) {
                refusal = "fence";
            } else if (unhealthy) {
                refusal = "unhealthy";
            } else {
                Run present = running.get(task);
                if (present == null || present.run != number) {
                    if (present != null || barred.getOrDefault(task, 0) >= number) {
                        extendLease(body);
                        refusal = "old";
                    } else if (Net.number(body, "deadline_ms", 0) <= clock()) {
                        refusal = "late";
                    } else {
                        extendLease(body);
                        Run run = new Run(id, task, number, life, recorder.millis());
                        run.due = clock() + workMillis(task, number, Net.text(body, "spec"));
                        Matcher fail = FAIL.matcher(Net.text(body, "spec"));
                        run.fails = fail.find() && number <= Integer.parseInt(fail.group(1));
                        running.put(task, run);
                        synchronized (allRuns) {
                            allRuns.add(run);
                        }
                        recorder.note("start " + run);
                    }
                }
            }
        }
        if ("unhealthy".equals(refusal)) {
            refusedStarts++;
            Net.reply(x, 503, "{\"clock_ms\":" + clock() + "}");
        } else if (refusal == null) {
            Net.reply(x, 200, "{\"clock_ms\":" + clock() + "}");
        } else {
            conflict(x, refusal);
        }
    }

    /**
     * Returns how long a run works: the time after "ms=", but for the first run of the first task
     * of a step the time after "first=", and for step 0 the time after "begin=", if there is one.
     */
    private static long workMillis(String task, int run, String spec) {
        Matcher begin = BEGIN.matcher(spec);
        if (task.split("\\.")[2].equals("0") && begin.find()) {
            return Long.parseLong(begin.group(1));
        }
        Matcher first = FIRST.matcher(spec);
        if (run == 1 && task.endsWith(".0") && first.find()) {
            return Long.parseLong(first.group(1));
        }
        Matcher work = WORK.matcher(spec);
        return work.find() ? Long.parseLong(work.group(1)) : 500;
    }

    /** Answers each start with 503 from now on, having done nothing, or no longer does. */
    void setUnhealthy(boolean newUnhealthy) {
        unhealthy = newUnhealthy;
        recorder.note(
                "minion " + id
                        + (newUnhealthy
                                ? " is unhealthy: it answers starts with 503"
                                : " is healthy again"));
    }

    long refusedStarts() {
        return refusedStarts;
    }

    private void runStop(HttpExchange x, String body) throws Exception {
        String task = Net.text(body, "task");
        int number = (int) Net.number(body, "run", 0);
        boolean fenced;
        boolean stops = false;
        synchronized (this) {
            endDue();
            fenced = fenced(body);
            if (!fenced) {
                barred.merge(task, number, Math::max);
                Run present = running.get(task);
                if (present != null && present.run == number) {
                    present.due = Math.min(present.due, clock() + STOP_MILLIS);
                    present.how = "stopped";
                    stops = true;
                }
            }
        }
        if (fenced) {
            conflict(x, "fence");
            return;
        }
        recorder.note("stop " + task + " run " + number + " on " + id + (stops ? "" : ": absent"));
        Net.reply(x, 200, "{\"clock_ms\":" + clock() + "}");
    }

    private void hold(HttpExchange x, String body) throws Exception {
        long deadline = System.nanoTime() + 1_000_000L * Net.number(body, "wait_ms", 0);
        int mine;
        String answer;
        synchronized (this) {
            endDue();
            mine = life;
            if (fenced(body)) {
                conflict(x, "fence");
                return;
            }
            extendLease(body);
            long seen = Net.number(body, "last_seen", 0);
            finished.forEach((n, run) -> run.noted |= n <= seen);
            finished.keySet().removeIf(n -> n <= seen);
            while (finished.isEmpty() && alive(mine)) {
                long left = (deadline - System.nanoTime()) / 1_000_000L;
                if (left <= 0) {
                    break;
                }
                wait(left);
            }
            if (!alive(mine)) {
                return;
            }
            List<String> rows = new ArrayList<>();
            for (Run run : running.values()) {
                rows.add("[\"" + run.task + "\"," + run.run + ",\"\",100,0]");
            }
            List<String> ends = new ArrayList<>();
            finished.entrySet().stream()
                    .limit(500)
                    .forEach(
                            e ->
                                    ends.add(
                                            "[" + e.getKey() + ",\"" + e.getValue().task + "\","
                                                    + e.getValue().run + ",\"" + e.getValue().how
                                                    + "\",\"\"]"));
            answer =
                    "{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"running\":["
                            + String.join(",", rows) + "],\"finished\":["
                            + String.join(",", ends) + "]}";
        }
        Net.reply(x, 200, answer);
    }

    private void endDue() {
        long now = clock();
        List<Run> ends = new ArrayList<>();
        for (Run run : running.values()) {
            if (lease <= now && lease < run.due) {
                run.how = "lapsed";
                ends.add(run);
            } else if (run.due <= now) {
                run.how = !run.how.isEmpty() ? run.how : run.fails ? "failed" : "done";
                ends.add(run);
            }
        }
        for (Run run : ends) {
            running.remove(run.task);
            barred.merge(run.task, run.run, Math::max);
            run.ended = recorder.millis();
            finished.put(++lastEnd, run);
            recorder.note("end " + run);
        }
        if (!ends.isEmpty()) {
            notifyAll();
        }
    }

    @Override
    public void close() {
        crash();
    }
}
