import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the programs of the project as processes of their own, with the commands of the deploy
 * file, each on a loopback address of its own.
 */
final class Bed implements AutoCloseable {
    static final String KEY = "k";

    /** A case may run for 120 s; the rest is for the start of the virtual machine and the end. */
    private static final long MAX_RUN_MILLIS = 110_000;

    final Record record = new Record();
    final Ledger ledger = new Ledger(record);
    final Store store;
    final List<Minion> minions = new ArrayList<>();
    final List<ChaosMinion> chaosMinions = new ArrayList<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    final Map<String, Integer> ownEnds = new ConcurrentHashMap<>();
    private final java.util.Set<Long> killed = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final String network;
    private final int entries;
    private final int callerPort;
    private final int readinessPort;
    private final int adminPort;
    private final int peerPort;

    Bed(int entries, int agents, long cpu, long storeMillis, ToLongFunction<String> workMillis)
            throws IOException {
        this.entries = entries;
        folder = Files.createTempDirectory("review-2-");
        long pid = ProcessHandle.current().pid();
        network = "127." + (10 + pid / 250 % 200) + '.' + (1 + pid % 250) + '.';
        callerPort = Web.freePort(network + 1);
        readinessPort = Web.freePort(network + 1);
        adminPort = Web.freePort(network + 1);
        peerPort = Web.freePort(network + 1);
        store = new Store(network + 1, storeMillis);
        for (int i = 0; i < agents; i++) {
            minions.add(
                    new Minion(
                            "i-" + i,
                            agentIp(i),
                            agentIp(i) + ':' + adminPort,
                            cpu,
                            workMillis,
                            ledger,
                            record));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    String entryIp(int i) {
        return network + (10 + i);
    }

    String agentIp(int i) {
        return network + (100 + i);
    }

    /** Ends the case with status 2 before it has run for 120 s, and writes the record. */
    void limitTime(Path recordFile) {
        Thread thread =
                new Thread(
                        () -> {
                            Minion.sleep(MAX_RUN_MILLIS);
                            record.say("could not run: not finished in time");
                            record.write(recordFile);
                            close();
                            Runtime.getRuntime().halt(2);
                        },
                        "time-limit");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts the minions and all processes, and waits until the entries are ready. */
    void start(String configuration) throws IOException, InterruptedException {
        store.put("keyed.op", "config", configuration.getBytes());
        minions.forEach(Minion::start);
        List<String> apps = new ArrayList<>();
        minions.forEach(minion -> apps.add(minion.address()));
        chaosMinions.forEach(minion -> apps.add(minion.address()));
        for (int i = 0; i < entries; i++) {
            launch("entry", "entry-" + i, entryIp(i), null);
        }
        for (int i = 0; i < apps.size(); i++) {
            launch("agent", "agent-" + i, agentIp(i), apps.get(i));
        }
        require(60_000, "the entries are ready", () -> allReady() && !dispatcher().isEmpty());
        // Agents report to the dispatcher within a second.
        Thread.sleep(3_000);
    }

    private boolean allReady() {
        for (int i = 0; i < entries; i++) {
            String url = "http://" + entryIp(i) + ':' + readinessPort + "/v1/readyz";
            if (Web.call("GET", url, Map.of(), null, 1_000).status() != 200) {
                return false;
            }
        }
        return true;
    }

    /** Returns the name of the entry that dispatches, as the first one that answers says. */
    String dispatcher() {
        for (int i = 0; i < entries; i++) {
            String url = "http://" + entryIp(i) + ':' + peerPort + "/agent/dispatcher";
            Web.Response response = Web.call("GET", url, Map.of(), null, 1_000);
            if (response.status() == 200) {
                String address = Json.read(response.body()).path("dispatcher").asText();
                for (int j = 0; j < entries; j++) {
                    if (address.equals(entryIp(j) + ':' + peerPort)) {
                        return "entry-" + j;
                    }
                }
            }
        }
        return "";
    }

    String callerAddress(int entry) {
        return entryIp(entry) + ':' + callerPort;
    }

    String adminAddress(int agent) {
        return agentIp(agent) + ':' + adminPort;
    }

    /** Starts a process again that has ended. */
    void relaunch(String name) throws IOException {
        int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        if (name.startsWith("entry")) {
            launch("entry", name, entryIp(number), null);
        } else {
            String app =
                    minions.isEmpty()
                            ? chaosMinions.get(number).address()
                            : minions.get(number).address();
            launch("agent", name, agentIp(number), app);
        }
        record.say("started " + name);
    }

    /** Sends SIGTERM, and SIGKILL after grace_s. */
    void term(String name) throws InterruptedException {
        Process process = processes.get(name);
        record.say("TERM " + name);
        process.destroy();
        if (!process.waitFor(6, TimeUnit.SECONDS)) {
            record.say("still there after grace_s: " + name);
            process.destroyForcibly();
            process.waitFor();
        }
    }

    private void launch(String role, String name, String ip, String app) throws IOException {
        Map<String, Object> listen = new LinkedHashMap<>();
        listen.put("admin", ip + ':' + adminPort);
        if (app == null) {
            listen.put("frontend", ip + ':' + callerPort);
            listen.put("readiness", ip + ':' + readinessPort);
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("node", name);
        settings.put("role", role);
        settings.put("ip", ip);
        settings.put("zone", "z");
        settings.put("listen_addrs", listen);
        settings.put("port_range", List.of(peerPort, peerPort));
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, entries); i++) {
            seeds.add(entryIp(i) + ':' + adminPort);
        }
        settings.put("seeds", seeds);
        settings.put("limits", Map.of("cpu_quota", app == null ? 0.75 : 0.45, "cores", 1));
        settings.put(
                "bounds",
                Map.of(
                        "grace_s", 6,
                        "max_hold_ms", 10_000,
                        "status_s", 120,
                        "checkpoint_interval_s", 1));
        settings.put("platform", Map.of("address", store.address(), "parts", 12));
        if (app != null) {
            settings.put("app", app);
            settings.put("service", "s");
        }
        Path file = folder.resolve(name + ".json");
        Files.write(file, Json.write(settings));
        List<String> command = new ArrayList<>();
        for (String word : runLine(role).split(" ")) {
            command.add(
                    word.replace("{{listen_addrs.frontend}}", ip + ':' + callerPort)
                            .replace("/tmp/fescueloom", folder.resolve("tmp-" + name).toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("FESCUELOOM_CONFIG", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }

    /** Returns the command of a role in the deploy file. */
    private String runLine(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher =
                Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"").matcher(text);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return matcher.group(1);
    }

    /** Starts each process again a second after it has ended by itself, and counts these ends. */
    void restartEnded() {
        Thread thread = new Thread(this::watchProcesses, "restart");
        thread.setDaemon(true);
        thread.start();
    }

    private void watchProcesses() {
        while (!closed) {
            for (String name : List.copyOf(processes.keySet())) {
                Process process = processes.get(name);
                if (!process.isAlive() && !killed.contains(process.pid()) && !closed) {
                    ownEnds.merge(name, 1, Integer::sum);
                    record.say(name + " has ended by itself with " + process.exitValue());
                    Minion.sleep(1_000);
                    try {
                        relaunch(name);
                    } catch (IOException e) {
                        record.say("cannot start " + name + ": " + e);
                    }
                }
            }
            Minion.sleep(50);
        }
    }

    /** Sends SIGKILL to a process. */
    void kill(String name) throws InterruptedException {
        Process process = processes.get(name);
        killed.add(process.pid());
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
        record.say("killed " + name);
    }

    /** Sends a signal to a process. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(name).pid()))
                .start()
                .waitFor();
        record.say("sent " + signal + " to " + name);
    }

    /** Returns the exit status of a process that has ended by itself; -1 while it lives. */
    int exitStatus(String name) {
        Process process = processes.get(name);
        return process.isAlive() ? -1 : process.exitValue();
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    Web.Response call(int entry, String method, String path, Object body) {
        Web.Response response =
                Web.call(
                        method,
                        "http://" + entryIp(entry) + ':' + callerPort + path,
                        Map.of("Host", "h", "X-Key", KEY, "X-Timeout-Ms", "3000"),
                        body == null ? null : Json.write(body),
                        3_500);
        record.note(
                method + ' ' + path + " at entry-" + entry + " -> " + response.status() + ' '
                        + response.text() + response.error());
        return response;
    }

    /** Hands a job in, at most five times; returns whether it was accepted. */
    boolean submit(String id, Object body) {
        for (int i = 0; i < 5; i++) {
            if (call(i % entries, "POST", "/q/" + id, body).status() == 200) {
                return true;
            }
            Minion.sleep(300);
        }
        return false;
    }

    String state(int entry, String id) {
        Web.Response response = call(entry, "GET", "/q/" + id, null);
        return response.status() == 200
                ? Json.read(response.body()).path("state").asText()
                : String.valueOf(response.status());
    }

    static boolean await(long millis, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                return false;
            }
            Thread.sleep(10);
        }
        return true;
    }

    void require(long millis, String what, BooleanSupplier condition)
            throws InterruptedException {
        if (!await(millis, condition)) {
            throw new IllegalStateException("not within " + millis + " ms: " + what);
        }
        record.say(what);
    }

    void killAll() {
        closed = true;
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        killAll();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        minions.forEach(Minion::close);
        if (System.getenv("KEEP") == null) {
            deleteFolder();
        } else {
            System.out.println("kept " + folder);
        }
    }

    private void deleteFolder() {
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            record.note("the temporary folder is left: " + e);
        }
    }
}
