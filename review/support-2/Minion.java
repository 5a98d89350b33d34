import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.ToLongFunction;

/** Stands in for a minion, which runs tasks and lists their ends, 500 at a time. */
final class Minion {
    private static final int PAGE = 500;
    private static final long MAX_HOLD_MILLIS = 10_000;
    private static final long BEAT_MILLIS = 1_500;

    private static final class Active {
        private Ledger.Run run;
        private long endsAt;
        private String how = "done";
        private boolean stopping;
    }

    private record End(long n, Ledger.Run run, String how) {}

    private final String id;
    private final String ip;
    private final String agentAddress;
    private final long cpu;
    private final Ledger ledger;
    private final Record record;
    private final ToLongFunction<String> workMillis;
    private final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final String address;
    private final HttpServer server;
    private final Map<String, Active> running = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    private long lastEnd;
    private long token;
    private long deadline;
    private long seq;
    private boolean closed;
    volatile String state = "ready";

    /** How long a stop takes, in milliseconds; at most stop_timeout_ms. */
    volatile long stopMillis = 100;

    /** How long the answer to an order takes, in milliseconds. */
    volatile long answerMillis;

    Minion(
            String id,
            String ip,
            String agentAddress,
            long cpu,
            ToLongFunction<String> workMillis,
            Ledger ledger,
            Record record)
            throws IOException {
        this.id = id;
        this.ip = ip;
        this.agentAddress = agentAddress;
        this.cpu = cpu;
        this.workMillis = workMillis;
        this.ledger = ledger;
        this.record = record;
        int port = Web.freePort(ip);
        address = ip + ':' + port;
        server = Web.serve(ip, port, this::handle);
    }

    String address() {
        return address;
    }

    void start() {
        daemon("clock-" + id, this::runClock);
        daemon("beat-" + id, this::beat);
    }

    private static void daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void close() {
        closed = true;
        server.stop(0);
    }

    synchronized int unnotedEnds() {
        return ends.size();
    }

    synchronized int runningTasks() {
        return running.size();
    }

    /** Returns the processor time that the running tasks need, those of one job and those of others. */
    synchronized long usedCpu(String largeJob, long largeCpu, long smallCpu) {
        long used = 0;
        for (String task : running.keySet()) {
            used += task.startsWith(largeJob) ? largeCpu : smallCpu;
        }
        return used;
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void runClock() {
        while (!closed) {
            synchronized (this) {
                long now = clock();
                boolean lapsed = now > deadline;
                for (Active active : List.copyOf(running.values())) {
                    if (lapsed) {
                        end(active, "lapsed");
                    } else if (now >= active.endsAt) {
                        end(active, active.how);
                    }
                }
            }
            sleep(5);
        }
    }

    private void end(Active active, String how) {
        running.remove(active.run.task);
        barred.merge(active.run.task, active.run.number, Math::max);
        long n = ++lastEnd;
        ends.put(n, new End(n, active.run, how));
        ledger.end(active.run, how, n);
        notifyAll();
    }

    private void beat() {
        while (!closed) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("service", "s");
            body.put("address", address);
            body.put("zone", "z");
            body.put("version", "v1");
            body.put("slots", 8);
            body.put("state", state);
            body.put("cold_left_ms", 0);
            body.put("capacity", Map.of("cpu", cpu, "mem_mb", 131_072, "gpu", 8));
            body.put("labels", List.of("a", "r1-1"));
            body.put("clock_ms", clock());
            body.put("seq", ++seq);
            body.put("born", born);
            Web.call(
                    "POST",
                    "http://" + agentAddress + "/v1/instances/" + id + "/heartbeat",
                    Map.of(),
                    Json.write(body),
                    1_000);
            sleep(BEAT_MILLIS);
        }
    }

    private Web.Response handle(
            String method, String path, Map<String, String> query, HttpExchange call)
            throws Exception {
        JsonNode body = Json.read(call.getRequestBody().readAllBytes());
        String target = call.getRequestHeaders().getFirst("X-Target-Instance");
        if (target != null && !target.equals(id)) {
            return Web.json(421, Map.of());
        }
        if (answerMillis > 0 && !path.endsWith("hold")) {
            Thread.sleep(answerMillis);
        }
        synchronized (this) {
            long sent = body.path("fencing_token").asLong(0);
            if (sent < token) {
                return conflict("fence");
            }
            token = sent;
            return switch (path) {
                case "/v1/run-start" -> runStart(body);
                case "/v1/run-stop" -> runStop(body);
                case "/v1/hold" -> hold(body);
                default -> Web.json(404, Map.of());
            };
        }
    }

    private Web.Response conflict(String reason) {
        return Web.json(409, Map.of("clock_ms", clock(), "reason", reason));
    }

    private void extend(long newDeadline) {
        deadline = Math.max(deadline, Math.min(newDeadline, clock() + MAX_HOLD_MILLIS));
    }

    private Web.Response runStart(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Active active = running.get(task);
        if (active != null && active.run.number == number) {
            return Web.json(200, Map.of("clock_ms", clock()));
        }
        long until = body.path("deadline_ms").asLong();
        if (until <= clock()) {
            return conflict("late");
        }
        extend(until);
        if (active != null || number <= barred.getOrDefault(task, 0)) {
            record.note("start refused as old: " + task + " run " + number + " on " + id);
            return conflict("old");
        }
        Active begun = new Active();
        begun.run = ledger.begin(task, number, id);
        begun.endsAt = clock() + workMillis.applyAsLong(task);
        running.put(task, begun);
        return Web.json(200, Map.of("clock_ms", clock()));
    }

    private Web.Response runStop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        barred.merge(task, number, Math::max);
        Active active = running.get(task);
        if (active != null && active.run.number <= number && !active.stopping) {
            active.stopping = true;
            active.how = "stopped";
            active.endsAt = clock() + stopMillis;
        }
        return Web.json(200, Map.of("clock_ms", clock()));
    }

    private Web.Response hold(JsonNode body) throws InterruptedException {
        long seen = body.path("last_seen").asLong(0);
        Map<Long, End> forgotten = ends.headMap(seen, true);
        forgotten.values().forEach(end -> ledger.noted(end.run()));
        forgotten.clear();
        if (body.has("deadline_ms")) {
            extend(body.path("deadline_ms").asLong());
        }
        long until = System.nanoTime() + body.path("wait_ms").asLong(0) * 1_000_000;
        while (ends.isEmpty()) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        List<Object> rows = new ArrayList<>();
        for (Active active : running.values()) {
            rows.add(List.of(active.run.task, active.run.number, "", 100, 10));
        }
        List<Object> finished = new ArrayList<>();
        for (End end : ends.values()) {
            if (finished.size() == PAGE) {
                break;
            }
            finished.add(List.of(end.n(), end.run().task, end.run().number, end.how(), ""));
        }
        return Web.json(
                200,
                Map.of(
                        "clock_ms", clock(),
                        "born", born,
                        "running", rows,
                        "finished", finished));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static long random(long from, long to) {
        return ThreadLocalRandom.current().nextLong(from, to);
    }
}
