package org.fescueloom.daemon.jobs;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import okhttp3.Request;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.config.Zone;
import org.fescueloom.daemon.DaemonMain;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.settings.Role;
import org.fescueloom.daemon.settings.Settings;
import org.fescueloom.job.JobSpec;
import org.fescueloom.json.Json;
import org.fescueloom.report.JobReport;
import org.fescueloom.report.StatusReport;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.harness.ManagedProcess;
import org.fescueloom.standins.harness.ProcessHarness;
import org.fescueloom.standins.log.LogStandIn;
import org.fescueloom.standins.worker.WorkerEvent;
import org.fescueloom.standins.worker.WorkerIdentity;
import org.fescueloom.standins.worker.WorkerStandIn;
import org.fescueloom.wire.WorkerCapacity;

/** Runs entries and agents as processes against a log and workers in the process of the test. */
final class JobTestBed implements AutoCloseable {
    static final List<String> ZONES = List.of("harbor-shed", "north-yard", "mill-floor");
    private static final int ACCELERATORS = 4;
    private static final int RETAINED_RECORDS = 100_000;
    private static final int APPENDS_PER_SECOND = 400;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final long AWAIT_SECONDS = 60;

    final LogStandIn log = new LogStandIn(ListenAddress.ANY, RETAINED_RECORDS, APPENDS_PER_SECOND);
    final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
    final Map<String, ManagedProcess> daemons = new LinkedHashMap<>();
    final Map<String, String> addresses = new LinkedHashMap<>();
    private final ProcessHarness harness = new ProcessHarness(Path.of("target", "job-system"));
    private final HttpClient http = new HttpClient(16, Duration.ofSeconds(2));
    private final List<String> seedAddresses = new ArrayList<>();

    JobTestBed(int entries, int agents, int workerCount) throws Exception {
        log.start();
        for (int i = 0; i < entries; i++) {
            seedAddresses.add("127.0.0.1:" + freePort());
        }
        for (int i = 0; i < entries; i++) {
            startDaemon(
                    Role.ENTRY, "entry-" + i, ZONES.get(i % ZONES.size()), seedAddresses.get(i));
        }
        for (int i = 0; i < agents; i++) {
            startDaemon(Role.AGENT, "agent-" + i, ZONES.get(i % ZONES.size()), "127.0.0.1:0");
        }
        for (int i = 0; i < workerCount; i++) {
            startWorker("worker-" + i, ZONES.get(i % ZONES.size()), i);
        }
        publishConfiguration();
        await("all workers known", () -> minUsableWorkers() == workerCount);
    }

    void startDaemon(Role role, String member, String zone, String listen) throws Exception {
        Settings settings =
                new Settings(
                        role,
                        member,
                        zone,
                        listen,
                        null,
                        seedAddresses,
                        List.of(log.address()),
                        null,
                        null);
        Path config = harness.directory().resolve(member + ".json");
        Files.write(config, Json.write(settings));
        List<String> options = List.of("@../bin/fescueloomd.jvm");
        List<String> arguments = List.of("--config", config.toString());
        daemons.put(member, harness.start(member, DaemonMain.class.getName(), options, arguments));
        addresses.put(member, daemons.get(member).address());
    }

    /** Starts a fresh entry at the address of a former one, under another name. */
    void replaceEntry(String former, String member) throws Exception {
        startDaemon(Role.ENTRY, member, ZONES.get(0), addresses.get(former));
        addresses.remove(former);
        daemons.remove(former);
    }

    private void startWorker(String id, String zone, int position) {
        WorkerCapacity capacity =
                new WorkerCapacity(zone + "-r1", position / 3, ACCELERATORS, 16, 65_536);
        WorkerStandIn worker =
                new WorkerStandIn(
                        ListenAddress.ANY, new WorkerIdentity(id, zone, capacity), seedAddresses);
        worker.start();
        workers.put(id, worker);
    }

    static JobSpec spec(int tasks, int accelerators, long seconds) {
        return new JobSpec(
                "parks",
                "pattern",
                tasks,
                accelerators,
                Adjacency.NONE,
                1,
                64,
                seconds,
                true,
                false,
                "weave");
    }

    private void publishConfiguration() throws Exception {
        ConfigurationDocument document =
                new ConfigurationDocument(
                        List.of(new ServiceClass("pattern", 10_000, 0, 1_024)),
                        List.of(new CustomerPolicy("parks", 0.5, null)),
                        ZONES.stream().map(z -> new Zone(z, null, null, null)).toList());
        await(
                "configuration published",
                () ->
                        send(HttpClient.request("PUT", firstEntryAddress(), "/v1/config", document)
                                                .header("If-Match", "\"-1\"")
                                                .build())
                                        .status()
                                != 503);
        await("configuration in force", () -> call("GET", "/v1/config", null).body().length > 60);
    }

    private int minUsableWorkers() throws Exception {
        int least = Integer.MAX_VALUE;
        for (String entry : entryAddresses()) {
            Request request = HttpClient.request("GET", entry, "/v1/workers", null).build();
            String text = new String(send(request).body());
            least = Math.min(least, text.split("\"state\":\"usable\"", -1).length - 1);
        }
        return least;
    }

    List<String> entryAddresses() {
        return addresses.entrySet().stream()
                .filter(e -> e.getKey().startsWith("entry"))
                .map(Map.Entry::getValue)
                .toList();
    }

    String firstEntryAddress() {
        return entryAddresses().get(0);
    }

    HttpClientResponse call(String method, String path, Object body) throws Exception {
        HttpClientResponse last = null;
        for (String entry : entryAddresses()) {
            try {
                last = send(HttpClient.request(method, entry, path, body).build());
                if (last.status() < 500) {
                    return last;
                }
            } catch (ExecutionException e) {
                continue;
            }
        }
        if (last == null) {
            throw new IOException("no entry answers");
        }
        return last;
    }

    private HttpClientResponse send(Request request) throws Exception {
        return http.send(request, CALL_TIMEOUT).get(15, TimeUnit.SECONDS);
    }

    void submit(String job, JobSpec spec) throws Exception {
        await("accepted " + job, () -> call("PUT", "/v1/jobs/" + job, spec).status() < 300);
    }

    JobReport jobReport(String job) throws Exception {
        return call("GET", "/v1/jobs/" + job, null).read(JobReport.class);
    }

    void awaitState(String job, String state) throws Exception {
        await(job + " is " + state, () -> jobReport(job).state().equals(state));
    }

    void awaitTasksStarted(String job, int tasks) throws Exception {
        await(job + " runs", () -> events(job, WorkerEvent.Kind.TASK_STARTED).size() >= tasks);
    }

    String plannerId() throws Exception {
        return call("GET", "/v1/status", null).read(StatusReport.class).planner();
    }

    List<WorkerEvent> events(String job, WorkerEvent.Kind kind) {
        return workers.values().stream()
                .flatMap(w -> w.records().stream())
                .filter(e -> job.equals(e.job()) && e.kind() == kind)
                .toList();
    }

    static void await(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        Exception last = null;
        while (System.nanoTime() < deadline) {
            try {
                if (condition.call()) {
                    return;
                }
                last = null;
            } catch (Exception e) {
                last = e;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("not in time: " + what, last);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() throws Exception {
        harness.close();
        workers.values().forEach(WorkerStandIn::close);
        log.close();
        http.close();
    }
}
