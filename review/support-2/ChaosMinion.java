import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** A minion that takes the freedoms that the pages leave it. */
final class ChaosMinion {
    private static final long MAX_HOLD_MILLIS = 10_000;

    private record End(long n, World.Run run, String how) {}

    final String name;
    private final String ip;
    private final int port;
    private final String agentAddress;
    private final World world;
    private final Random random;
    private final String zone;
    private final String rack;
    private HttpServer server;
    String id;
    long born;
    private long startNanos;
    private long origin;
    private double rate;
    private final Map<String, World.Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    private long lastEnd;
    private long token;
    private long deadline;
    private long deadlineLapsed;
    private long seq;
    private int life;
    private boolean up;
    long cpu = 32_000;
    long mem = 131_072;
    long gpu = 8;
    String state = "ready";
    long leavesAt;
    /** How far the time of day of the minion is ahead; negative if it was set back. */
    volatile long clockOffsetMillis;

    /** Whether the clock of each life starts at zero. */
    volatile boolean clockStartsAnew;

    /** Whether the next start order gets no answer and is carried out late. */
    volatile boolean withholdsNextStart;

    /** Runs when an order was withheld. */
    volatile Runnable onWithheld = () -> {};

    volatile long withholdMillis;
    volatile double lateShare;
    volatile boolean unhealthy;
    volatile double failShare;
    volatile long delayMillis;
    volatile double slowness = 1;

    ChaosMinion(
            String name,
            String id,
            String ip,
            String agentAddress,
            String zone,
            String rack,
            World world,
            Random random)
            throws IOException {
        this.name = name;
        this.id = id;
        this.ip = ip;
        this.agentAddress = agentAddress;
        this.zone = zone;
        this.rack = rack;
        this.world = world;
        this.random = random;
        port = Web.freePort(ip);
    }

    String address() {
        return ip + ':' + port;
    }

    /** Starts a life of the minion. */
    void start(String newId) throws IOException {
        synchronized (world) {
            id = newId;
            long now = System.currentTimeMillis() + clockOffsetMillis;
            born = clockOffsetMillis == 0 ? Math.max(born + 1, now) : now;
            startNanos = System.nanoTime();
            origin = clockStartsAnew ? 0 : random.nextInt(1_000_000);
            rate = 0.98 + random.nextDouble() * 0.02;
            running.clear();
            barred.clear();
            ends.clear();
            lastEnd = 0;
            token = 0;
            deadline = 0;
            seq = 0;
            life++;
            state = "ready";
            unhealthy = false;
            up = true;
            world.record.say("minion " + name + " begins as " + boot());
        }
        server = Web.serve(ip, port, this::handle);
        int current = life;
        daemon(() -> runClock(current));
        daemon(() -> beat(current));
    }

    /** Ends the life at once; everything on it terminates. */
    void crash() {
        synchronized (world) {
            up = false;
            world.record.say("minion " + name + " ends as " + boot());
            for (World.Run run : List.copyOf(running.values())) {
                run.endMillis = world.record.millis();
                run.end = "lost";
                world.gangs.getOrDefault(gangRun(run), List.of()).forEach(
                        other -> other.minion.breakRun(other, run));
            }
            running.clear();
            ends.clear();
            world.notifyAll();
        }
        server.stop(0);
    }

    boolean isUp() {
        return up;
    }

    String boot() {
        return id + '@' + born;
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    long clock() {
        return origin + (long) (rate * (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static String gangRun(World.Run run) {
        return run.gangKey + '#' + run.number;
    }

    private void breakRun(World.Run run, World.Run cause) {
        if (run != cause && run.endMillis < 0 && up && running.get(run.task) == run) {
            end(run, "broken");
        }
    }

    private void runClock(int current) {
        while (true) {
            synchronized (world) {
                if (!up || life != current) {
                    return;
                }
                long now = clock();
                boolean lapsed = now > deadline;
                for (World.Run run : List.copyOf(running.values())) {
                    if (running.get(run.task) != run) {
                        continue;
                    }
                    if (lapsed) {
                        end(run, "lapsed");
                    } else if (run.stopping && now >= run.stopAt) {
                        end(run, "stopped");
                    } else {
                        work(run, now);
                    }
                }
            }
            Minion.sleep(5);
        }
    }

    private void work(World.Run run, long now) {
        if (run.step.gang()) {
            List<World.Run> members = world.gangs.getOrDefault(gangRun(run), List.of());
            long present = members.stream().filter(m -> m.endMillis < 0).count();
            if (present < run.step.count() && run.workedFrom < 0) {
                if (world.record.millis() - run.startMillis > 3_000) {
                    end(run, "alone");
                }
                return;
            }
        }
        if (run.workedFrom < 0) {
            run.workedFrom = now;
        }
        long worked = run.savedWork + (long) ((now - run.workedFrom) / slowness);
        if (run.step.checkpoints()) {
            long saved = worked / 1_000 * 1_000;
            if (saved > 0 && saved > run.savedWork) {
                run.checkpoint = "%08x".formatted(saved) + tail(run);
            }
        }
        if (!run.step.endless() && worked >= run.step.millis()) {
            if (run.step.gang()) {
                for (World.Run other : List.copyOf(world.gangs.get(gangRun(run)))) {
                    if (other.endMillis < 0) {
                        other.minion.end(other, "done");
                    }
                }
            } else {
                end(run, random.nextDouble() < failShare ? "failed" : "done");
            }
        }
    }

    private static String tail(World.Run run) {
        return "%08x".formatted((run.step.gang() ? run.gangKey : run.task).hashCode());
    }

    private void end(World.Run run, String how) {
        running.remove(run.task);
        barred.merge(run.task, run.number, Math::max);
        run.endMillis = world.record.millis();
        run.end = how;
        long n = ++lastEnd;
        ends.put(n, new End(n, run, how));
        world.record.note("end " + run + " N=" + n);
        if (run.step.gang() && !how.equals("done")) {
            for (World.Run other : List.copyOf(
                    world.gangs.getOrDefault(gangRun(run), List.of()))) {
                other.minion.breakRun(other, run);
            }
        }
        world.notifyAll();
    }

    private void beat(int current) {
        while (true) {
            byte[] body;
            synchronized (world) {
                if (!up || life != current) {
                    return;
                }
                body = beatBody();
            }
            send("heartbeat", body);
            Minion.sleep(1_300 + random.nextInt(300));
        }
    }

    private byte[] beatBody() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", "s");
        body.put("address", address());
        body.put("zone", zone);
        body.put("version", "v1");
        body.put("slots", 8);
        body.put("state", state);
        if (state.equals("draining")) {
            body.put("remaining_ms", Math.max(0, leavesAt - world.record.millis()));
        }
        body.put("cold_left_ms", 0);
        body.put("capacity", Map.of("cpu", cpu, "mem_mb", mem, "gpu", gpu));
        body.put("labels", List.of("a", rack));
        body.put("clock_ms", clock());
        body.put("seq", ++seq);
        body.put("born", born);
        return Json.write(body);
    }

    private boolean send(String what, byte[] body) {
        return Web.call(
                                "POST",
                                "http://" + agentAddress + "/v1/instances/" + id + '/' + what,
                                Map.of(),
                                body,
                                1_000)
                        .status()
                == 200;
    }

    /** Drains, leaves after the time, and comes back as another minion. */
    void leave(long afterMillis, String newId, long pauseMillis) throws Exception {
        byte[] body;
        synchronized (world) {
            state = "draining";
            leavesAt = world.record.millis() + afterMillis;
            body = beatBody();
            world.record.say("minion " + name + " drains, leaves in " + afterMillis);
        }
        send("heartbeat", body);
        Minion.sleep(afterMillis);
        send("deregister", Json.write(Map.of("born", born)));
        crash();
        Minion.sleep(pauseMillis);
        start(newId);
    }

    private Web.Response handle(
            String method, String path, Map<String, String> query, HttpExchange call)
            throws Exception {
        int current = life;
        JsonNode body = Json.read(call.getRequestBody().readAllBytes());
        String target = call.getRequestHeaders().getFirst("X-Target-Instance");
        if (withholdsNextStart && path.endsWith("run-start")) {
            withholdsNextStart = false;
            world.record.say(name + " leaves an order unanswered: " + body.path("task").asText());
            onWithheld.run();
            Minion.sleep(withholdMillis);
            synchronized (world) {
                Web.Response late = up ? perform(path, body, target, true) : null;
                world.record.say(
                        name + " carries the order out late: "
                                + (late == null ? "is down" : late.status() + " " + late.text()));
            }
            return null;
        }
        if (random.nextDouble() < lateShare) {
            Minion.sleep(2_000 + random.nextInt(10_000));
            synchronized (world) {
                if (up) {
                    perform(path, body, target, true);
                }
            }
            return null;
        }
        Web.Response response;
        synchronized (world) {
            if (!up || life != current) {
                return null;
            }
            response = perform(path, body, target, false);
        }
        if (delayMillis > 0) {
            Minion.sleep(random.nextInt((int) delayMillis));
        }
        return response;
    }

    private Web.Response perform(String path, JsonNode body, String target, boolean late)
            throws InterruptedException {
        if (target != null && !target.equals(id)) {
            return Web.json(421, Map.of());
        }
        if (unhealthy && path.endsWith("run-start")) {
            return Web.json(random.nextBoolean() ? 429 : 503, Map.of("clock_ms", clock()));
        }
        long sent = body.path("fencing_token").asLong(0);
        if (sent < token) {
            return conflict("fence");
        }
        token = sent;
        return switch (path) {
            case "/v1/run-start" -> runStart(body, late);
            case "/v1/run-stop" -> runStop(body);
            case "/v1/hold" -> hold(body);
            default -> Web.json(404, Map.of());
        };
    }

    private Web.Response conflict(String reason) {
        return Web.json(409, Map.of("clock_ms", clock(), "reason", reason));
    }

    private void extend(long newDeadline) {
        long now = clock();
        // A lease that has expired before is over, also if the clock thread has not seen it yet.
        if (now > deadline) {
            for (World.Run run : List.copyOf(running.values())) {
                if (running.get(run.task) == run) {
                    end(run, "lapsed");
                }
            }
        }
        deadline = Math.max(deadline, Math.min(newDeadline, now + MAX_HOLD_MILLIS));
    }

    private Web.Response runStart(JsonNode body, boolean late) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        World.Run active = running.get(task);
        if (active != null && active.number == number) {
            return Web.json(200, Map.of("clock_ms", clock()));
        }
        long until = body.path("deadline_ms").asLong();
        if (until <= clock()) {
            return conflict("late");
        }
        extend(until);
        if (active != null || number <= barred.getOrDefault(task, 0)) {
            return conflict("old");
        }
        String jobId = task.substring(0, task.indexOf('.'));
        World.Job job = world.jobs.get(jobId);
        int[] n = World.numbers(task);
        if (job == null || n[1] >= job.steps.size()
                || n[2] >= job.steps.get(n[1]).count() || n[0] >= job.occurrences) {
            world.breaks("UNASKED", task + " was not submitted");
            return Web.json(400, Map.of());
        }
        World.Step step = job.steps.get(n[1]);
        String gangKey = jobId + '.' + n[0] + '.' + n[1];
        World.Run run =
                new World.Run(
                        job, task, gangKey, step, number, this, boot(), world.record.millis());
        run.late = late;
        String checkpoint = body.path("checkpointed").asText("");
        if (!job.spec.equals(body.path("spec").asText())) {
            world.breaks("UNASKED", task + " with another spec");
        }
        if (!checkpoint.isEmpty()) {
            if (!checkpoint.endsWith(tail(run))) {
                world.breaks("UNASKED", task + " with the checkpoint of another task");
            }
            run.savedWork = Long.parseLong(checkpoint.substring(0, 8), 16);
            run.checkpoint = checkpoint;
        }
        world.judgeStart(run);
        if (step.gang()) {
            List<World.Run> members =
                    world.gangs.computeIfAbsent(gangRun(run), key -> new ArrayList<>());
            for (World.Run member : members) {
                if (!member.checkpoint.equals(run.checkpoint) && member.workedFrom < 0) {
                    world.breaks("UNASKED", "checkpoints differ in a gang: " + member + " | " + run);
                }
            }
            members.add(run);
        }
        running.put(task, run);
        judgeLimit(run, late);
        return Web.json(200, Map.of("clock_ms", clock()));
    }

    private void judgeLimit(World.Run begun, boolean late) {
        long usedCpu = 0;
        long usedMem = 0;
        long usedGpu = 0;
        int same = 0;
        for (World.Run run : running.values()) {
            usedCpu += run.step.cpu();
            usedMem += run.step.mem();
            usedGpu += run.step.gpu();
            same += run.gangKey.equals(begun.gangKey) ? 1 : 0;
        }
        if (usedCpu > cpu || usedMem > mem || usedGpu > gpu) {
            world.breaks("LIMIT", begun + " cpu " + usedCpu + " mem " + usedMem + " gpu " + usedGpu);
        }
        if (begun.step.maxPerServer() > 0 && same > begun.step.maxPerServer()) {
            world.breaks("ROUTE", begun + " beyond max_per_server " + same);
        }
    }

    private Web.Response runStop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        barred.merge(task, number, Math::max);
        World.Run run = running.get(task);
        if (run != null && run.number <= number && !run.stopping) {
            run.stopping = true;
            run.stopAt = clock() + random.nextInt(380);
        }
        return Web.json(200, Map.of("clock_ms", clock()));
    }

    private Web.Response hold(JsonNode body) throws InterruptedException {
        int current = life;
        long seen = body.path("last_seen").asLong(0);
        Map<Long, End> forgotten = ends.headMap(seen, true);
        for (End end : List.copyOf(forgotten.values())) {
            end.run().notedMillis = world.record.millis();
            world.judgeNoted(end.run());
        }
        forgotten.clear();
        if (body.has("deadline_ms")) {
            extend(body.path("deadline_ms").asLong());
        }
        long until = System.nanoTime() + body.path("wait_ms").asLong(0) * 1_000_000;
        while (ends.isEmpty() && up && life == current) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            world.wait(left);
        }
        if (!up || life != current) {
            return null;
        }
        List<Object> rows = new ArrayList<>();
        for (World.Run run : running.values()) {
            rows.add(List.of(run.task, run.number, run.checkpoint, 100, 10));
        }
        List<Object> finished = new ArrayList<>();
        for (End end : ends.values()) {
            if (finished.size() == 500) {
                break;
            }
            finished.add(
                    List.of(
                            end.n(),
                            end.run().task,
                            end.run().number,
                            end.how(),
                            end.run().checkpoint));
        }
        return Web.json(
                200,
                Map.of(
                        "clock_ms", clock(),
                        "born", born,
                        "running", rows,
                        "finished", finished));
    }
}
