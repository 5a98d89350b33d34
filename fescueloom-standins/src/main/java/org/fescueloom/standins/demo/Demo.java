package org.fescueloom.standins.demo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.report.JobReport;
import org.fescueloom.report.PlacementReport;
import org.fescueloom.report.UpstreamsReport;
import org.fescueloom.report.WorkersReport;
import org.fescueloom.standins.demo.DemoCluster.DemoUpstream;
import org.fescueloom.standins.demo.DemoCluster.DemoWorker;
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
        runJobs();
        takeZoneOut();
        bringZoneIn();
        letUpstreamLeave();
        checkGangs();
    }

    private void startProcesses() {
        narrator.part("starting the system as separate processes on loopback");
        cluster.startLog();
        cluster.startEntry("entry-1", ZONES.get(0));
        cluster.startEntry("entry-2", ZONES.get(1));
        for (int i = 0; i < SPEEDS.length; i++) {
            cluster.startUpstream("weaveplan-" + (i + 1), ZONES.get(i % ZONES.size()), SPEEDS[i]);
        }
        int[] workers = {3, 2, 2};
        for (int zone = 0; zone < workers.length; zone++) {
            for (int position = 0; position < workers[zone]; position++) {
                cluster.startWorker(ZONES.get(zone), ZONES.get(zone) + "-r1", position);
            }
        }
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
        boolean upstreams =
                Pause.until(
                        READY_LIMIT,
                        () ->
                                cluster.entries().stream()
                                        .allMatch(
                                                e ->
                                                        callers.get(
                                                                                e,
                                                                                "/v1/upstreams",
                                                                                UpstreamsReport
                                                                                        .class)
                                                                        .upstreams()
                                                                        .size()
                                                                == cluster.upstreams().size()));
        narrator.check(upstreams, "every upstream announced itself to both entries");
        boolean workers =
                Pause.until(
                        READY_LIMIT,
                        () ->
                                cluster.entries().stream()
                                        .allMatch(
                                                e ->
                                                        callers.get(
                                                                                e,
                                                                                "/v1/workers",
                                                                                WorkersReport.class)
                                                                        .workers()
                                                                        .size()
                                                                == cluster.workers().size()));
        narrator.check(workers, "every worker announced itself to both entries");
        narrator.show(tool.require("status").out());
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
    }

    private void submit(String job, String example) {
        Path spec = installation.home().resolve("examples/jobs/" + example + ".json");
        tool.require("job", "submit", job, spec.toString());
    }

    private JobReport job(String job) {
        return tool.require("--json", "job", "show", job).read(JobReport.class);
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
        for (String id : List.of("culvert-1", "traps-1", "culvert-2")) {
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
}
