package org.fescueloom.standins.demo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.fescueloom.report.JobReport;
import org.fescueloom.report.PlacementReport;
import org.fescueloom.report.UpstreamsReport;
import org.fescueloom.report.WorkersReport;
import org.fescueloom.standins.demo.DemoCluster.DemoUpstream;
import org.fescueloom.standins.demo.DemoCluster.DemoWorker;
import org.fescueloom.standins.demo.DemoCluster.UpstreamPlan;
import org.fescueloom.standins.upstream.UpstreamRecords;
import org.fescueloom.standins.worker.WorkerEvent;

/**
 * Runs the steps of the demonstration and checks their results.
 *
 * <p>The example is the Weave Scheduling Cluster of the Lakeshore Basketworks.
 */
final class Demo {
    private static final String ZONE_TAKEN_OUT = "north-yard";
    private static final List<String> ZONES = List.of("harbor-shed", "north-yard", "mill-floor");
    private static final double[] SPEEDS = {1.0, 2.0, 4.0, 1.5, 3.0};
    private static final int REQUEST_COUNT = 120;
    private static final Duration READY_LIMIT = Duration.ofSeconds(20);
    private static final Duration JOB_LIMIT = Duration.ofSeconds(30);
    private static final Duration ZONE_LIMIT = Duration.ofSeconds(20);
    private static final long KIB_PER_MIB = 1024;

    /** The exit status with which the command-line tool reports a refused job. */
    private static final int EXIT_REFUSED = 4;

    private static final String SUCCEEDED = "succeeded";
    private static final Set<String> END_STATES = Set.of(SUCCEEDED, "failed", "cancelled");

    private final Installation installation;
    private final DemoCluster cluster;
    private final Callers callers;
    private final DemoOutput output;
    private CommandLineTool tool;

    Demo(Installation installation, DemoCluster cluster, Callers callers, DemoOutput output) {
        this.installation = installation;
        this.cluster = cluster;
        this.callers = callers;
        this.output = output;
    }

    void run() {
        startProcesses();
        tool = new CommandLineTool(installation, cluster.entryAddresses());
        publishConfiguration();
        awaitAnnouncements();
        sendRequests("requests from 8 callers through both entries");
        explainRequest();
        runJobs();
        reclaimGuarantee();
        takeZoneOut();
        bringZoneIn();
        letUpstreamLeave();
        checkGangs();
        reportMemory();
    }

    private void startProcesses() {
        output.startSection("starting the system as separate processes on the loopback interface");
        cluster.startLog();
        cluster.startEntry("entry-1", ZONES.get(0));
        cluster.startEntry("entry-2", ZONES.get(1));
        List<UpstreamPlan> plans = new ArrayList<>();
        for (int i = 0; i < SPEEDS.length; i++) {
            String zone = ZONES.get(i % ZONES.size());
            plans.add(new UpstreamPlan("weaveplan-" + (i + 1), zone, SPEEDS[i]));
        }
        cluster.startUpstreams(plans);
        cluster.startWorkers(Map.of(ZONES.get(0), 3, ZONES.get(1), 2, ZONES.get(2), 2));
        output.print("a stand-in for the log service of the platform holds all durable state");
        output.print("entries listen on %s", String.join(" and ", cluster.entryAddresses()));
        output.print(
                "%d upstreams of different speeds, each with its agent; %d workers with 8"
                        + " accelerators each",
                cluster.upstreams().size(), cluster.workers().size());
    }

    private void publishConfiguration() {
        output.startSection("an operator publishes the configuration");
        Path document = installation.checkout().resolve("examples/lakeshore.json");
        boolean published =
                Pause.until(
                        READY_LIMIT,
                        () ->
                                tool.run("config", "put", document.toString(), "--latest")
                                                .exitStatus()
                                        == 0);
        output.check(published, "the configuration of examples/lakeshore.json was accepted");
    }

    private void awaitAnnouncements() {
        awaitAtEachEntry(
                entry ->
                        callers.get(entry, "/v1/upstreams", UpstreamsReport.class)
                                .upstreams()
                                .size(),
                cluster.upstreams().size(),
                "upstream");
        awaitAtEachEntry(
                entry -> callers.get(entry, "/v1/workers", WorkersReport.class).workers().size(),
                cluster.workers().size(),
                "worker");
        output.printLines(tool.runOrThrow("status").standardOutput());
    }

    private void awaitAtEachEntry(
            ToIntFunction<String> countAtEntry, int expectedCount, String kind) {
        boolean allListed =
                Pause.until(
                        READY_LIMIT,
                        () ->
                                cluster.entryAddresses().stream()
                                        .allMatch(
                                                entry ->
                                                        countAtEntry.applyAsInt(entry)
                                                                == expectedCount));
        output.check(allListed, "every %s announced itself to both entries", kind);
    }

    private Callers.Outcome sendRequests(String title) {
        output.startSection(title);
        Callers.Outcome outcome =
                callers.send(cluster.entryAddresses(), "weaveplan", "shop-floor", REQUEST_COUNT);
        output.check(
                outcome.correct() == REQUEST_COUNT,
                "%d of %d requests got back exactly the bytes that were sent",
                outcome.correct(),
                REQUEST_COUNT);
        outcome.failures().forEach(text -> output.print("failure: %s", text));
        output.print("callers retried %d times after an outcome of \"not run\"", outcome.retries());
        outcome.servedBy()
                .forEach(
                        (upstream, count) ->
                                output.print(
                                        "%s in %s served %d requests",
                                        upstream, zoneOf(upstream), count));
        return outcome;
    }

    private String zoneOf(String upstreamId) {
        DemoUpstream known = cluster.upstreams().get(upstreamId);
        return known == null ? "an unknown zone" : known.zone();
    }

    private void explainRequest() {
        output.startSection(
                "one request through the command-line tool, and the decisions on that request");
        String body = "crab trap, 12 gauge";
        CommandLineTool.Result result =
                tool.run(
                        "request",
                        "send",
                        "weaveplan",
                        "--customer",
                        "fishers",
                        "--request-id",
                        "trap-17",
                        "--data",
                        body);
        output.check(
                result.standardOutput().equals(body), "the tool printed the body of the request");
        output.printLines(tool.runOrThrow("explain", "trap-17").standardOutput());
    }

    private void runJobs() {
        output.startSection("gang jobs: culvert screens need one rack, crab traps one zone");
        submit("culvert-1", "culvert-screens");
        submit("traps-1", "crab-traps");
        boolean placed = Pause.until(JOB_LIMIT, () -> !job("culvert-1").placement().isEmpty());
        output.check(placed, "culvert-1 was placed");
        output.printLines(tool.runOrThrow("workers").standardOutput());
        awaitJob("culvert-1");
        awaitJob("traps-1");
        output.printLines(tool.runOrThrow("explain", "culvert-1").standardOutput());
        CommandLineTool.Result refused =
                tool.run("job", "submit", "giant-1", exampleFile("giant-basket"));
        output.printLines(refused.errorOutput());
        output.check(
                refused.exitStatus() == EXIT_REFUSED,
                "a job too large for every set of workers was refused at once");
    }

    private void reclaimGuarantee() {
        output.startSection(
                "fishers borrow most accelerators, then parks-dispatch uses its guarantee");
        submit("rush-1", "crab-traps-rush");
        awaitPlacement("rush-1");
        output.printLines(tool.runOrThrow("workers").standardOutput());
        long submittedNanos = System.nanoTime();
        submit("culvert-3", "culvert-screens");
        awaitPlacement("culvert-3");
        output.print(
                "culvert-3 was placed %.1f s after it was submitted",
                (System.nanoTime() - submittedNanos) / 1e9);
        output.printLines(tool.runOrThrow("workers").standardOutput());
        awaitJob("culvert-3");
        JobReport borrower = awaitJob("rush-1");
        output.check(
                borrower.attempts() > 1, "rush-1 was preempted and resumed from its checkpoint");
        output.printLines(tool.runOrThrow("explain", "rush-1").standardOutput());
    }

    /** Waits until a job has been placed or has ended. */
    private void awaitPlacement(String jobId) {
        boolean placed =
                Pause.until(
                        JOB_LIMIT,
                        () -> {
                            JobReport job = job(jobId);
                            return !job.placement().isEmpty() || END_STATES.contains(job.state());
                        });
        output.check(placed, "%s was placed", jobId);
    }

    private void submit(String jobId, String example) {
        tool.runOrThrow("job", "submit", jobId, exampleFile(example));
    }

    private String exampleFile(String name) {
        return installation.checkout().resolve("examples/jobs/" + name + ".json").toString();
    }

    private JobReport job(String jobId) {
        return callers.get(cluster.entryAddresses().get(0), "/v1/jobs/" + jobId, JobReport.class);
    }

    private JobReport awaitJob(String jobId) {
        Pause.until(JOB_LIMIT, () -> END_STATES.contains(job(jobId).state()));
        JobReport report = job(jobId);
        output.check(
                SUCCEEDED.equals(report.state()),
                "job %s %s after %d gang attempts%s",
                jobId,
                report.state(),
                report.attempts(),
                report.detail() == null ? "" : " (" + report.detail() + ")");
        return report;
    }

    private void takeZoneOut() {
        output.startSection("an operator takes " + ZONE_TAKEN_OUT + " out of service");
        CommandLineTool.Result change = tool.run("zone", "out", ZONE_TAKEN_OUT);
        long outSinceMillis = System.currentTimeMillis();
        output.printLines(change.standardOutput() + change.errorOutput());
        output.check(change.exitStatus() == 0, "the change is in force everywhere");
        Callers.Outcome outcome = sendRequests("requests while " + ZONE_TAKEN_OUT + " is out");
        output.check(
                outcome.servedBy().keySet().stream()
                        .noneMatch(u -> zoneOf(u).equals(ZONE_TAKEN_OUT)),
                "no upstream in %s served a request",
                ZONE_TAKEN_OUT);
        submit("culvert-2", "culvert-screens");
        awaitJob("culvert-2");
        output.check(
                requestStarts(ZONE_TAKEN_OUT, outSinceMillis) == 0,
                "the upstreams in %s have recorded no start of a request since then",
                ZONE_TAKEN_OUT);
        output.check(
                taskStarts(ZONE_TAKEN_OUT, outSinceMillis) == 0,
                "the workers in %s have recorded no start of a task since then",
                ZONE_TAKEN_OUT);
    }

    private long requestStarts(String zone, long sinceMillis) {
        return cluster.upstreams().values().stream()
                .filter(u -> u.zone().equals(zone))
                .flatMap(
                        u ->
                                callers
                                        .get(u.address(), "/records", UpstreamRecords.class)
                                        .runs()
                                        .stream())
                .filter(run -> run.startMillis() > sinceMillis)
                .count();
    }

    private long taskStarts(String zone, long sinceMillis) {
        return cluster.workers().values().stream()
                .filter(w -> w.zone().equals(zone))
                .flatMap(w -> events(w).stream())
                .filter(e -> e.kind() == WorkerEvent.Kind.TASK_STARTED)
                .filter(e -> e.timeMillis() > sinceMillis)
                .count();
    }

    private List<WorkerEvent> events(DemoWorker worker) {
        return List.of(callers.get(worker.address(), "/records", WorkerEvent[].class));
    }

    private void bringZoneIn() {
        output.startSection("the operator puts " + ZONE_TAKEN_OUT + " back into service");
        CommandLineTool.Result change = tool.run("zone", "in", ZONE_TAKEN_OUT);
        output.printLines(change.standardOutput() + change.errorOutput());
        output.check(change.exitStatus() == 0, "the change is in force everywhere");
        boolean servesAgain =
                Pause.until(
                        ZONE_LIMIT,
                        () ->
                                callers
                                        .send(
                                                cluster.entryAddresses(),
                                                "weaveplan",
                                                "fishers",
                                                REQUEST_COUNT)
                                        .servedBy()
                                        .keySet()
                                        .stream()
                                        .anyMatch(u -> zoneOf(u).equals(ZONE_TAKEN_OUT)));
        output.check(servesAgain, "upstreams in %s serve requests again", ZONE_TAKEN_OUT);
    }

    private void letUpstreamLeave() {
        DemoUpstream leaving = cluster.upstreams().values().iterator().next();
        output.startSection(leaving.name() + " is told to shut down while callers send requests");
        leaving.process().terminate();
        sendRequests("requests while " + leaving.name() + " shuts down");
        output.check(
                leaving.process().awaitEnd(READY_LIMIT),
                "%s exited by itself after its last request",
                leaving.name());
    }

    /**
     * Checks with the events of the workers that, for each job, exactly one gang attempt started
     * and completed all tasks.
     */
    private void checkGangs() {
        output.startSection("the tasks that the workers have recorded");
        Map<String, Set<String>> startedTasks = new HashMap<>();
        Map<String, Set<String>> succeededTasks = new HashMap<>();
        for (DemoWorker worker : cluster.workers().values()) {
            for (WorkerEvent event : events(worker)) {
                if (event.kind() == WorkerEvent.Kind.TASK_STARTED) {
                    addTask(startedTasks, event);
                } else if (event.kind() == WorkerEvent.Kind.TASK_SUCCEEDED) {
                    addTask(succeededTasks, event);
                }
            }
        }
        for (String jobId : List.of("culvert-1", "traps-1", "rush-1", "culvert-3", "culvert-2")) {
            JobReport job = job(jobId);
            int taskCount = job.spec().tasks();
            long completeAttempts =
                    succeededTasks.entrySet().stream()
                            .filter(e -> e.getKey().startsWith(jobId + "/"))
                            .filter(e -> e.getValue().size() == taskCount)
                            .filter(e -> e.getValue().equals(startedTasks.get(e.getKey())))
                            .count();
            output.check(
                    completeAttempts == 1,
                    "job %s: exactly one gang attempt ran all %d tasks",
                    jobId,
                    taskCount);
            job.placement().stream()
                    .map(PlacementReport::worker)
                    .distinct()
                    .forEach(worker -> output.print("%s used %s", jobId, worker));
        }
    }

    /** Adds the task of an event to the tasks of its gang attempt; keys are "job/attempt". */
    private static void addTask(Map<String, Set<String>> tasksByAttempt, WorkerEvent event) {
        tasksByAttempt
                .computeIfAbsent(event.job() + "/" + event.attempt(), k -> new HashSet<>())
                .add(event.task());
    }

    private void reportMemory() {
        output.startSection("resident memory of the daemons");
        for (DemoProcess daemon : cluster.daemons()) {
            daemon.residentKib()
                    .ifPresent(kib -> output.print("%s: %d MB", daemon.name(), kib / KIB_PER_MIB));
        }
    }
}
