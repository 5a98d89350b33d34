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

/**
 * Runs entries and agents as processes that use a simulated log service and simulated workers in
 * the test process.
 */
final class JobTestBed implements AutoCloseable {
    static final List<String> ZONES = List.of("harbor-shed", "north-yard", "mill-floor");
    private static final int ACCELERATORS_PER_WORKER = 4;
    private static final int RETAINED_RECORDS = 100_000;
    private static final int APPENDS_PER_SECOND = 400;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final long MAX_AWAIT_SECONDS = 60;

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

    /** Starts a new entry with another identifier at the address of an entry that was killed. */
    void replaceEntry(String killedEntryId, String member) throws Exception {
        startDaemon(Role.ENTRY, member, ZONES.get(0), addresses.get(killedEntryId));
        addresses.remove(killedEntryId);
        daemons.remove(killedEntryId);
    }

    private void startWorker(String id, String zone, int workerNumber) {
        WorkerCapacity capacity =
                new WorkerCapacity(
                        zone + "-r1", workerNumber / 3, ACCELERATORS_PER_WORKER, 16, 65_536);
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

    /** Returns the lowest number of usable workers that an entry reports. */
    private int minUsableWorkers() throws Exception {
        int minWorkers = Integer.MAX_VALUE;
        for (String entry : entryAddresses()) {
            Request request = HttpClient.request("GET", entry, "/v1/workers", null).build();
            String text = new String(send(request).body());
            minWorkers = Math.min(minWorkers, text.split("\"state\":\"usable\"", -1).length - 1);
        }
        return minWorkers;
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

    /** Sends a request to the entries in turn until one responds with a status below 500. */
    HttpClientResponse call(String method, String path, Object body) throws Exception {
        HttpClientResponse lastResponse = null;
        for (String entry : entryAddresses()) {
            try {
                lastResponse = send(HttpClient.request(method, entry, path, body).build());
                if (lastResponse.status() < 500) {
                    return lastResponse;
                }
            } catch (ExecutionException e) {
                continue;
            }
        }
        if (lastResponse == null) {
            throw new IOException("no entry responded");
        }
        return lastResponse;
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

    /** Returns the events of one kind that the workers recorded for a job. */
    List<WorkerEvent> events(String job, WorkerEvent.Kind kind) {
        return workers.values().stream()
                .flatMap(w -> w.records().stream())
                .filter(e -> job.equals(e.job()) && e.kind() == kind)
                .toList();
    }

    /** Waits until a condition is true; exceptions of the condition count as false. */
    static void await(String description, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_AWAIT_SECONDS);
        Exception lastFailure = null;
        while (System.nanoTime() < deadline) {
            try {
                if (condition.call()) {
                    return;
                }
                lastFailure = null;
            } catch (Exception e) {
                lastFailure = e;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("not met in time: " + description, lastFailure);
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
