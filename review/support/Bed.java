import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the store, entries and agents of this project as
 * separate processes with the commands of the deploy file, one minion beside each agent, clients.
 */
final class Bed implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "huvo11a";
    static final String KEY = "key-of-t1";
    private static final String[] ZONES = {"harbor-shed", "north-yard", "mill-floor"};

    /** One answer to a call of a client; status 0 if there was none. */
    record Answer(int status, String body) {}

    final Recorder recorder;
    final Store store;
    final List<Minion> minions = new ArrayList<>();
    final List<Minion.Run> runs = Collections.synchronizedList(new ArrayList<>());
    final List<String> entryAddresses = new ArrayList<>();
    final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> commands = new HashMap<>();
    private final Map<String, Path> settingsFiles = new HashMap<>();
    private final Path root;
    private final Path folder;
    private final String net;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(1_000))
                    .build();

    /** Prepares a deployment; nothing runs yet but the store and the minions. */
    Bed(Path root, Recorder recorder, int entries, int agents) throws IOException {
        this.root = root;
        this.recorder = recorder;
        folder = Files.createTempDirectory("fescueloom-review-");
        Random random = new Random();
        net = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        List<String> ips = new ArrayList<>();
        for (int i = 0; i < entries + agents; i++) {
            ips.add(net + (10 + i));
        }
        List<Integer> ports = Net.freePorts(6, ips);
        store = new Store(net + "1", recorder);
        putConfiguration(1, 4);
        String seeds = "";
        for (int i = 0; i < Math.min(3, entries); i++) {
            seeds += (i == 0 ? "" : ",") + "\"" + ips.get(i) + ":" + ports.get(2) + "\"";
        }
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        for (int i = 0; i < entries; i++) {
            String zone = ZONES[i % 3];
            String node = "edge-" + zone + "-" + (1 + i / 3);
            String ip = ips.get(i);
            prepare(node, "entry", deploy, ip, zone, ports, seeds, null);
            entryAddresses.add(ip + ":" + ports.get(0));
        }
        for (int i = 0; i < agents; i++) {
            String zone = ZONES[i % 3];
            String node = "side-" + zone + "-" + (1 + i / 3);
            String ip = ips.get(entries + i);
            Minion minion =
                    new Minion(
                            String.format("i-7f3a91c%x", i),
                            ip,
                            ports.get(5),
                            ip + ":" + ports.get(2),
                            SERVICE,
                            zone,
                            "r" + (1 + i % 3) + "-1",
                            recorder,
                            runs);
            minions.add(minion);
            prepare(node, "agent", deploy, ip, zone, ports, seeds, minion.address());
        }
    }

    /** Writes the configuration of one queue, as operators do. */
    void putConfiguration(int version, int attempts) {
        store.put(
                "keyed.op",
                "config",
                ("{\"version\":" + version + ",\"routes\":[{\"name\":\"q\",\"host\":\"" + HOST
                                + "\",\"path_prefix\":\"" + PREFIX + "\",\"service\":\"" + SERVICE
                                + "\",\"priority\":1,\"attempts\":" + attempts
                                + ",\"slack_factor\":2.0,\"slo_ms\":1000}],\"services\":[{\"name\":\""
                                + SERVICE + "\",\"enforces_capacity\":false}],\"tenants\":[{"
                                + "\"name\":\"t1\",\"api_keys\":[\"" + KEY
                                + "\"],\"guaranteed\":{\"gpu\":4}}]}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    private void prepare(
            String node,
            String role,
            String deploy,
            String ip,
            String zone,
            List<Integer> ports,
            String seeds,
            String app)
            throws IOException {
        String frontend = ip + ":" + ports.get(0);
        String listen =
                role.equals("entry")
                        ? "\"frontend\":\"" + frontend + "\",\"readiness\":\"" + ip + ":"
                                + ports.get(1) + "\",\"admin\":\"" + ip + ":" + ports.get(2) + "\""
                        : "\"admin\":\"" + ip + ":" + ports.get(2) + "\"";
        String settings =
                "{\"node\":\"" + node + "\",\"role\":\"" + role + "\",\"ip\":\"" + ip
                        + "\",\"zone\":\"" + zone + "\",\"region\":\"lakeshore\","
                        + "\"listen_addrs\":{" + listen + "},\"port_range\":[" + ports.get(3) + ","
                        + ports.get(3) + "],\"seeds\":[" + seeds + "],\"bootstrap\":true,"
                        + "\"heartbeat_ms\":1500,\"control_mode\":\"rpc\","
                        + "\"limits\":{\"cpu_quota\":0.75,\"cores\":1,\"memory_mb\":430},"
                        + "\"bounds\":{\"grace_s\":6,\"max_hold_ms\":10000,\"stop_timeout_ms\":400,"
                        + "\"status_s\":120,\"checkpoint_interval_s\":1,\"drain_ms\":2000},"
                        + (app == null ? "" : "\"app\":\"" + app + "\",\"service\":\"" + SERVICE + "\",")
                        + "\"platform\":{\"address\":\"" + store.address() + "\",\"form\":\"log\","
                        + "\"writes_per_s\":800,\"reads_per_s\":2000,\"record_bytes\":"
                        + Store.RECORD_BYTES + ",\"request_bytes\":" + Store.REQUEST_BYTES
                        + ",\"keep_s\":300}}";
        Path file = folder.resolve(node + ".json");
        Files.writeString(file, settings);
        settingsFiles.put(node, file);
        int section = deploy.indexOf("[roles." + role + "]");
        int begin = deploy.indexOf("run = \"", section) + 7;
        String run = deploy.substring(begin, deploy.indexOf("\"\n", begin));
        commands.put(
                node, List.of(run.replace("{{listen_addrs.frontend}}", frontend).split(" ")));
    }

    /** Starts one program of this project. */
    void launch(String node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(commands.get(node)).directory(root.toFile());
        Map<String, String> kept = new HashMap<>();
        for (String name : new String[] {"PATH", "HOME", "JAVA_HOME", "LANG"}) {
            if (System.getenv(name) != null) {
                kept.put(name, System.getenv(name));
            }
        }
        builder.environment().clear();
        builder.environment().putAll(kept);
        builder.environment().put("FESCUELOOM_CONFIG", settingsFiles.get(node).toString());
        File log = folder.resolve(node + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(node, builder.start());
        recorder.note("process " + node + " started");
    }

    /** Starts everything, and waits until a job is served. */
    void startAll() throws Exception {
        for (Minion minion : minions) {
            minion.start();
        }
        for (String node : commands.keySet().stream().sorted().toList()) {
            launch(node);
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        String id = newId();
        while (true) {
            if (submit(id, 0, job("ms=50", 1)).status() == 200) {
                break;
            }
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("the system accepts no job");
            }
            Thread.sleep(200);
        }
        while (!state(id, 0).body().contains("succeeded")) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("the system runs no job");
            }
            Thread.sleep(100);
        }
        // Agents that found no dispatcher so far find one now.
        Thread.sleep(2_000);
        recorder.note("the system serves");
    }

    /** Returns the newest exit status of ended processes, by machine. */
    Map<String, Integer> endedProcesses() {
        Map<String, Integer> ended = new LinkedHashMap<>();
        processes.forEach(
                (node, process) -> {
                    if (!process.isAlive()) {
                        ended.put(node, process.exitValue());
                    }
                });
        return ended;
    }

    /** Starts processes that have ended again, as the platform does; returns their number. */
    int restartEnded() throws IOException {
        Map<String, Integer> ended = endedProcesses();
        for (Map.Entry<String, Integer> process : ended.entrySet()) {
            recorder.note(
                    "process " + process.getKey() + " ended by itself, status "
                            + process.getValue());
            launch(process.getKey());
        }
        return ended.size();
    }

    private static final Random IDS = new Random();

    static String newId() {
        return String.format("%016x", IDS.nextLong());
    }

    /** Returns the body of a job of one step of small tasks. */
    static String job(String spec, int count) {
        return job(spec, count, 1_000);
    }

    /** Returns the body of a job of one step; cpu in thousandths of a core. */
    static String job(String spec, int count, int cpu) {
        return "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + count
                + ",\"cpu\":" + cpu + ",\"mem_mb\":256,\"estimate_ms\":900}]}";
    }

    Answer submit(String id, int entry, String body) {
        return call("POST", entry, PREFIX + id, body);
    }

    Answer state(String id, int entry) {
        return call("GET", entry, PREFIX + id, null);
    }

    /** Makes one call as a client does, which waits for 3 s. */
    Answer call(String method, int entry, String path, String body) {
        Answer answer;
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://" + entryAddresses.get(entry) + path))
                            .timeout(Duration.ofMillis(3_000))
                            .header("Host", HOST)
                            .header("X-Key", KEY)
                            .header("X-Timeout-Ms", "3000")
                            .header("Content-Type", "application/json")
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body))
                            .build();
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            answer = new Answer(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            answer = new Answer(0, e.toString());
        }
        recorder.note(
                method + " " + path + " at entry " + entry + " -> " + answer.status() + " "
                        + answer.body());
        return answer;
    }

    /** Returns the log of a process, for a person who looks into a failure. */
    Path log(String node) {
        return folder.resolve(node + ".log");
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes
                .values()
                .forEach(
                        process -> {
                            try {
                                process.waitFor(5, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        minions.forEach(Minion::close);
        store.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(Collections.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                recorder.note("the temporary folder was not removed: " + e);
            }
        }
    }
}
