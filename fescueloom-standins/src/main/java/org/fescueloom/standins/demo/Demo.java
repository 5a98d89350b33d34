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

/** Tells the story of a day at the Lakeshore Basketworks Weave Scheduling Cluster. */
final class Demo {
    private static final String ZONE_OUT = "north-yard";
    private static final List<String> ZONES = List.of("harbor-shed", "north-yard", "mill-floor");
    private static final double[] SPEEDS = {1.0, 2.0, 4.0, 1.5, 3.0};
    private static final int REQUESTS = 120;
    private static final Duration READY_LIMIT = Duration.ofSeconds(20);
    private static final Duration JOB_LIMIT = Duration.ofSeconds(30);
    private static final Duration ZONE_LIMIT = Duration.ofSeconds(20);
    private static final long KIB_PER_MIB = 1024;
    private static final int EXIT_REFUSED = 4;
    private static final String SUCCEEDED = "succeeded";
    private static final Set<String> ENDED = Set.of(SUCCEEDED, "failed", "cancelled");

    private final Installation installation;
    private final DemoCluster cluster;
    private final Callers callers;
    private final Narrator narrator;
    private Tool tool;

    Demo(Installation installation, DemoCluster cluster, Callers callers, Narrator narrator) {
        this.installation = installation;
        this.cluster = cluster;
        this.callers = callers;
        this.narrator = narrator;
    }

    void run() {
        startProcesses();
        tool = new Tool(installation, cluster.entries());
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
        narrator.part("starting the system as separate processes on loopback");
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
        narrator.say("the platform's log service, a stand-in, holds all that must last");
        narrator.say("entries listen on %s", String.join(" and ", cluster.entries()));
        narrator.say(
                "%d upstreams of different speeds, each with its agent; %d workers with 8"
                        + " accelerators each",
                cluster.upstreams().size(), cluster.workers().size());
    }

    private void publishConfiguration() {
        narrator.part("an operator publishes the configuration");
        Path document = installation.home().resolve("examples/lakeshore.json");
        boolean published =
                Pause.until(
                        READY_LIMIT,
                        () ->
                                tool.run("config", "put", document.toString(), "--latest").status()
                                        == 0);
        narrator.check(published, "the configuration of examples/lakeshore.json was accepted");
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
        narrator.show(tool.require("status").out());
    }

    private void awaitAtEachEntry(ToIntFunction<String> known, int expected, String what) {
        boolean all =
                Pause.until(
                        READY_LIMIT,
                        () ->
                                cluster.entries().stream()
                                        .allMatch(e -> known.applyAsInt(e) == expected));
        narrator.check(all, "every %s announced itself to both entries", what);
    }

    private Callers.Outcome sendRequests(String title) {
        narrator.part(title);
        Callers.Outcome outcome =
                callers.send(cluster.entries(), "weaveplan", "shop-floor", REQUESTS);
        narrator.check(
                outcome.right() == REQUESTS,
                "%d of %d callers got exactly their own bytes back",
                outcome.right(),
                REQUESTS);
        outcome.wrong().forEach(text -> narrator.say("wrong: %s", text));
        narrator.say("callers were told \"not run\" and asked again %d times", outcome.refused());
        outcome.servedBy()
                .forEach(
                        (upstream, count) ->
                                narrator.say(
                                        "%s in %s answered %d", upstream, zoneOf(upstream), count));
        return outcome;
    }

    private String zoneOf(String upstream) {
        DemoUpstream known = cluster.upstreams().get(upstream);
        return known == null ? "an unknown zone" : known.zone();
    }

    private void explainRequest() {
        narrator.part("one request through the command-line tool, and what was decided about it");
        String body = "crab trap, 12 gauge";
        Tool.Result answer =
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
        narrator.check(answer.out().equals(body), "the tool printed its own answer");
        narrator.show(tool.require("explain", "trap-17").out());
    }

    private void runJobs() {
        narrator.part("gang jobs: culvert screens need one rack, crab traps one zone");
        submit("culvert-1", "culvert-screens");
        submit("traps-1", "crab-traps");
        boolean placed = Pause.until(JOB_LIMIT, () -> !job("culvert-1").placement().isEmpty());
        narrator.check(placed, "culvert-1 was placed");
        narrator.show(tool.require("workers").out());
        awaitJob("culvert-1");
        awaitJob("traps-1");
        narrator.show(tool.require("explain", "culvert-1").out());
        Tool.Result refused = tool.run("job", "submit", "giant-1", example("giant-basket"));
        narrator.show(refused.err());
        narrator.check(
                refused.status() == EXIT_REFUSED,
                "a job that no set of workers could ever hold was refused at once");
    }

    private void reclaimGuarantee() {
        narrator.part("fishers borrow most accelerators, then parks-dispatch claims its guarantee");
        submit("rush-1", "crab-traps-rush");
        awaitRunning("rush-1");
        narrator.show(tool.require("workers").out());
        long claimed = System.nanoTime();
        submit("culvert-3", "culvert-screens");
        awaitRunning("culvert-3");
        narrator.say(
                "culvert-3 was placed %.1f s after it was submitted",
                (System.nanoTime() - claimed) / 1e9);
        narrator.show(tool.require("workers").out());
        awaitJob("culvert-3");
        JobReport borrower = awaitJob("rush-1");
        narrator.check(
                borrower.attempts() > 1, "rush-1 gave way, then went on from its checkpoint");
        narrator.show(tool.require("explain", "rush-1").out());
    }

    private void awaitRunning(String id) {
        boolean placed =
                Pause.until(
                        JOB_LIMIT,
                        () -> {
                            JobReport job = job(id);
                            return !job.placement().isEmpty() || ENDED.contains(job.state());
                        });
        narrator.check(placed, "%s was placed", id);
    }

    private void submit(String job, String example) {
        tool.require("job", "submit", job, example(example));
    }

    private String example(String name) {
        return installation.home().resolve("examples/jobs/" + name + ".json").toString();
    }

    private JobReport job(String job) {
        return callers.get(cluster.entries().get(0), "/v1/jobs/" + job, JobReport.class);
    }

    private JobReport awaitJob(String job) {
        Pause.until(JOB_LIMIT, () -> ENDED.contains(job(job).state()));
        JobReport report = job(job);
        narrator.check(
                SUCCEEDED.equals(report.state()),
                "job %s %s after %d gang attempts%s",
                job,
                report.state(),
                report.attempts(),
                report.detail() == null ? "" : " (" + report.detail() + ")");
        return report;
    }

    private void takeZoneOut() {
        narrator.part("an operator takes " + ZONE_OUT + " out of service");
        Tool.Result change = tool.run("zone", "out", ZONE_OUT);
        long outSince = System.currentTimeMillis();
        narrator.show(change.out() + change.err());
        narrator.check(change.status() == 0, "the change is in force everywhere");
        Callers.Outcome outcome = sendRequests("requests while " + ZONE_OUT + " is out");
        narrator.check(
                outcome.servedBy().keySet().stream().noneMatch(u -> zoneOf(u).equals(ZONE_OUT)),
                "no request was answered in %s",
                ZONE_OUT);
        submit("culvert-2", "culvert-screens");
        awaitJob("culvert-2");
        narrator.check(
                requestStarts(ZONE_OUT, outSince) == 0,
                "the upstreams' own records show no start in %s since then",
                ZONE_OUT);
        narrator.check(
                taskStarts(ZONE_OUT, outSince) == 0,
                "the workers' own records show no start in %s since then",
                ZONE_OUT);
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
        narrator.part("the operator brings " + ZONE_OUT + " back");
        Tool.Result change = tool.run("zone", "in", ZONE_OUT);
        narrator.show(change.out() + change.err());
        narrator.check(change.status() == 0, "the change is in force everywhere");
        boolean works =
                Pause.until(
                        ZONE_LIMIT,
                        () ->
                                callers
                                        .send(cluster.entries(), "weaveplan", "fishers", REQUESTS)
                                        .servedBy()
                                        .keySet()
                                        .stream()
                                        .anyMatch(u -> zoneOf(u).equals(ZONE_OUT)));
        narrator.check(works, "requests are answered in %s again", ZONE_OUT);
    }

    private void letUpstreamLeave() {
        DemoUpstream leaving = cluster.upstreams().values().iterator().next();
        narrator.part(leaving.name() + " is told to shut down while callers are asking");
        leaving.process().terminate();
        sendRequests("requests while " + leaving.name() + " leaves");
        narrator.check(
                leaving.process().awaitEnd(READY_LIMIT),
                "%s ended by itself when its work was done",
                leaving.name());
    }

    /** Checks by the workers' records that every gang that counts ran with all its members. */
    private void checkGangs() {
        narrator.part("what the workers say that they really ran");
        Map<String, Set<String>> started = new HashMap<>();
        Map<String, Set<String>> succeeded = new HashMap<>();
        for (DemoWorker worker : cluster.workers().values()) {
            for (WorkerEvent event : events(worker)) {
                if (event.kind() == WorkerEvent.Kind.TASK_STARTED) {
                    add(started, event);
                } else if (event.kind() == WorkerEvent.Kind.TASK_SUCCEEDED) {
                    add(succeeded, event);
                }
            }
        }
        for (String id : List.of("culvert-1", "traps-1", "rush-1", "culvert-3", "culvert-2")) {
            JobReport job = job(id);
            int tasks = job.spec().tasks();
            long whole =
                    succeeded.entrySet().stream()
                            .filter(e -> e.getKey().startsWith(id + "/"))
                            .filter(e -> e.getValue().size() == tasks)
                            .filter(e -> e.getValue().equals(started.get(e.getKey())))
                            .count();
            narrator.check(
                    whole == 1, "job %s: one gang attempt ran with all its %d tasks", id, tasks);
            job.placement().stream()
                    .map(PlacementReport::worker)
                    .distinct()
                    .forEach(worker -> narrator.say("%s used %s", id, worker));
        }
    }

    private static void add(Map<String, Set<String>> tasks, WorkerEvent event) {
        tasks.computeIfAbsent(event.job() + "/" + event.attempt(), k -> new HashSet<>())
                .add(event.task());
    }

    private void reportMemory() {
        narrator.part("resident memory of the daemons");
        for (DemoProcess daemon : cluster.daemons()) {
            daemon.residentKib()
                    .ifPresent(kib -> narrator.say("%s: %d MB", daemon.name(), kib / KIB_PER_MIB));
        }
    }
}
