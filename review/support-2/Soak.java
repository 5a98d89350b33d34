import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Random jobs and disruptions on a small deployment; judges the rules that are in World. */
final class Soak {
    private static final int ENTRIES = 3;
    private static final int AGENTS = 4;
    private static final String[] KINDS = {
        "late", "reborn", "crash", "leave", "unhealthy", "fail", "delay", "slow", "silent", "busy",
        "lose", "storeslow", "refuse", "killdispatcher", "killentry", "killagent", "freezedispatcher",
        "freezeagent", "termentry", "termdispatcher", "termagent", "part", "killall", "deadconns"
    };

    private final Bed bed;
    private final World world;
    private final Random random;
    private final Random jobRandom;
    private final long seconds;
    private volatile boolean traffic = true;
    private int lastJob;

    private Soak(Bed bed, World world, long seed, long seconds) {
        this.bed = bed;
        this.world = world;
        this.random = new Random(seed);
        this.jobRandom = new Random(seed + 1);
        this.seconds = seconds;
    }

    public static void main(String[] arguments) throws Exception {
        long seed = Long.getLong("seed", 1);
        long seconds = Long.getLong("seconds", 60);
        int status = 0;
        try (Bed bed = new Bed(ENTRIES, 0, 0, 3, t -> 0)) {
            World world = new World(bed.record);
            Random minionRandom = new Random(seed + 2);
            for (int i = 0; i < AGENTS; i++) {
                bed.chaosMinions.add(
                        new ChaosMinion(
                                "m" + i,
                                "",
                                bed.agentIp(i),
                                bed.adminAddress(i),
                                i % 2 == 0 ? "z" : "y",
                                "r1-" + i / 2,
                                world,
                                minionRandom));
            }
            for (ChaosMinion minion : bed.chaosMinions) {
                minion.start("i-" + minion.name);
            }
            try {
                new Soak(bed, world, seed, seconds).run();
            } finally {
                bed.record.write(Path.of(arguments[0]));
            }
            status = world.broken.isEmpty() ? 0 : 1;
            System.out.println("seed " + seed + " broken " + world.broken.size());
        }
        System.exit(status);
    }

    private void run() throws Exception {
        bed.start(
                ManyEnds.CONFIGURATION.replace(
                        "\"routes\":[",
                        "\"routes\":[{\"name\":\"u\",\"host\":\"h\",\"path_prefix\":\"/u/\","
                                + "\"service\":\"s\",\"priority\":0,\"attempts\":3,"
                                + "\"slack_factor\":2.0,\"slo_ms\":1000},"));
        Thread jobs = new Thread(this::submitJobs);
        jobs.setDaemon(true);
        jobs.start();
        Thread checks = new Thread(this::askStates);
        checks.setDaemon(true);
        checks.start();
        String only = System.getProperty("kinds", String.join(",", KINDS));
        String[] kinds = only.split(",");
        long until = bed.record.millis() + seconds * 1_000;
        while (bed.record.millis() < until) {
            String kind = kinds[random.nextInt(kinds.length)];
            bed.record.say("-- " + kind);
            try {
                disrupt(kind);
            } catch (IllegalStateException | NullPointerException e) {
                bed.record.say("disruption failed: " + e);
            }
            Minion.sleep(random.nextInt(4) == 0 ? 6_000 : random.nextInt(1_500));
        }
        traffic = false;
        bed.record.say("end of traffic");
        for (ChaosMinion minion : bed.chaosMinions) {
            minion.lateShare = 0;
            minion.unhealthy = false;
            minion.failShare = 0;
            minion.delayMillis = 0;
            minion.slowness = 1;
        }
        bed.store.fault = (c, o, t, p) -> Store.Action.SERVE;
        Minion.sleep(35_000);
        checkEnd();
    }

    private void checkEnd() throws Exception {
        for (int round = 0; round < 3; round++) {
            int open = 0;
            for (World.Job job : List.copyOf(world.jobs.values())) {
                if (!job.accepted) {
                    continue;
                }
                String state = bed.state(jobRandom.nextInt(ENTRIES), job.id);
                judgeState(job, state);
                boolean endless = job.steps.stream().anyMatch(World.Step::endless);
                if (round == 2
                        && !Set.of("succeeded", "failed", "cancelled").contains(state)
                        && !endless) {
                    open++;
                    world.breaks("LOST?", job.id + " is " + state + " at the end, accepted at "
                            + job.acceptedMillis + " runs " + runsOf(job).toString().substring(0, Math.min(900, runsOf(job).toString().length())));
                }
            }
            bed.record.say("round " + round + ": " + open + " open of " + world.jobs.size());
            Minion.sleep(3_000);
        }
        for (World.Job job : world.jobs.values()) {
            if (!job.accepted && !job.undecided && !runsOf(job).isEmpty()) {
                world.breaks("REFUSED", job.id + ' ' + runsOf(job));
            }
        }
        long runs = world.runs.values().stream().mapToLong(List::size).sum();
        bed.record.say(world.jobs.size() + " jobs, " + world.jobs.values().stream().filter(j -> j.accepted).count() + " accepted, " + runs + " runs");
    }

    private List<World.Run> runsOf(World.Job job) {
        synchronized (world) {
            List<World.Run> all = new ArrayList<>();
            world.runs.forEach((task, list) -> {
                if (task.startsWith(job.id)) {
                    all.addAll(list);
                }
            });
            return all;
        }
    }

    private void judgeState(World.Job job, String state) {
        synchronized (world) {
            if (state.equals("410") && job.accepted && job.cancelSentMillis < 0
                    && bed.record.millis() - job.acceptedMillis > 3_000) {
                world.breaks("LOST", job.id + " is 410");
            }
            if (state.equals("succeeded") && !world.jobDone(job)) {
                world.breaks("MIXED", job.id + " is succeeded but not done " + runsOf(job));
            }
            if (state.equals("cancelled") && job.cancelSentMillis < 0) {
                world.breaks("LOST", job.id + " is cancelled without cause");
            }
            if (state.equals("failed")) {
                long failures = runsOf(job).stream().filter(r -> r.end.equals("failed")).count();
                if (failures < 3) {
                    world.breaks("LOST", job.id + " failed after " + failures + " failures");
                }
            }
            if (Set.of("succeeded", "failed", "cancelled").contains(job.shown)
                    && !state.equals(job.shown) && state.length() > 3) {
                world.breaks("MIXED", job.id + " was " + job.shown + ", is " + state);
            }
            if (state.length() > 3) {
                job.shown = state;
            }
        }
    }

    private void askStates() {
        Random own = new Random(7);
        while (true) {
            List<World.Job> all;
            synchronized (world) {
                all = List.copyOf(world.jobs.values());
            }
            if (!all.isEmpty()) {
                World.Job job = all.get(own.nextInt(all.size()));
                boolean accepted = job.accepted;
                String state = bed.state(own.nextInt(ENTRIES), job.id);
                if (accepted) {
                    judgeState(job, state);
                }
            }
            Minion.sleep(100);
        }
    }

    private void submitJobs() {
        while (traffic) {
            World.Job job = newJob();
            Thread client = new Thread(() -> handIn(job));
            client.setDaemon(true);
            client.start();
            Minion.sleep(Long.getLong("pause", 600) + jobRandom.nextInt(600));
        }
    }

    private World.Job newJob() {
        String id = "%016x".formatted(++lastJob + 0xa0000);
        List<World.Step> steps = new ArrayList<>();
        int count = jobRandom.nextInt(4) == 0 ? 2 : 1;
        for (int i = 0; i < count; i++) {
            boolean gang = jobRandom.nextInt(3) == 0;
            boolean endless = i == 0 && count == 1 && jobRandom.nextInt(15) == 0;
            steps.add(
                    new World.Step(
                            Boolean.getBoolean("wide")
                                    ? 100 + jobRandom.nextInt(300)
                                    : gang ? 2 + jobRandom.nextInt(4) : 1 + jobRandom.nextInt(8),
                            Boolean.getBoolean("wide")
                                    ? 20 + jobRandom.nextInt(60)
                                    : 500 + jobRandom.nextInt(4_000),
                            100,
                            !Boolean.getBoolean("wide") && jobRandom.nextInt(4) == 0 ? 1 + jobRandom.nextInt(2) : 0,
                            Boolean.getBoolean("short")
                                    ? 10 + jobRandom.nextInt(250)
                                    : 300 + jobRandom.nextInt(4_000),
                            gang,
                            jobRandom.nextBoolean(),
                            endless,
                            !gang && !Boolean.getBoolean("wide") && jobRandom.nextInt(4) == 0 ? 2 : 0,
                            i > 0 ? List.of(i - 1) : List.of()));
        }
        int occurrences = jobRandom.nextInt(8) == 0 ? 3 : 1;
        World.Job job = new World.Job(id, "spec of " + id, steps, occurrences);
        synchronized (world) {
            world.jobs.put(id, job);
        }
        return job;
    }

    private void handIn(World.Job job) {
        List<Object> steps = new ArrayList<>();
        for (World.Step step : job.steps) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("count", step.count());
            body.put("cpu", step.cpu());
            body.put("mem_mb", step.mem());
            if (step.gpu() > 0) {
                body.put("gpu", step.gpu());
            }
            body.put("estimate_ms", step.millis());
            body.put("gang", step.gang());
            body.put("checkpointable", step.checkpoints());
            body.put("long_running", step.endless());
            body.put("max_per_server", step.maxPerServer());
            body.put("depends_on", step.after());
            Random more = new Random(job.id.hashCode() + 31L * steps.size());
            if (step.gang() && more.nextBoolean()) {
                body.put("same_rack", true);
            }
            if (more.nextInt(4) == 0) {
                body.put("affinity", "r1-" + more.nextInt(3));
            }
            if (more.nextInt(8) == 0) {
                body.put("required_label", more.nextBoolean() ? "r1-0" : "a");
            }
            steps.add(body);
        }
        Map<String, Object> body = new HashMap<>(Map.of("spec", job.spec, "steps", steps));
        if (job.occurrences > 1) {
            body.put("repeat_count", job.occurrences);
            body.put("interval_ms", 1_500);
            body.put("start_at_ms", System.currentTimeMillis() + 500);
        }
        Random own = new Random(job.id.hashCode());
        String queue = own.nextInt(4) == 0 ? "/u/" : "/q/";
        for (int i = 0; i < 5 && !job.accepted; i++) {
            int status =
                    bed.call(own.nextInt(ENTRIES), "POST", queue + job.id, body).status();
            synchronized (world) {
                if (status == 200) {
                    job.accepted = true;
                    job.acceptedMillis = bed.record.millis();
                } else if (status == 429 || status == 503 || status == 404) {
                    job.rejections++;
                } else {
                    job.undecided = true;
                }
            }
            Minion.sleep(200 + own.nextInt(900));
        }
        if (job.accepted && own.nextInt(6) == 0) {
            Minion.sleep(own.nextInt(4_000));
            bed.call(own.nextInt(ENTRIES), "POST", queue + job.id, body);
        }
        boolean endless = job.steps.stream().anyMatch(World.Step::endless);
        if (job.accepted && (endless || own.nextInt(6) == 0)) {
            Minion.sleep(own.nextInt(endless ? 15_000 : 4_000));
            job.cancelSentMillis = bed.record.millis();
            for (int i = 0; i < 5; i++) {
                int status =
                        bed.call(own.nextInt(ENTRIES), "DELETE", queue + job.id, null).status();
                if (status == 200 || status == 410) {
                    job.cancelAckMillis = bed.record.millis();
                    break;
                }
                Minion.sleep(500);
            }
        }
    }

    private ChaosMinion minion() {
        return bed.chaosMinions.get(random.nextInt(AGENTS));
    }

    private void disrupt(String kind) throws Exception {
        int n = random.nextInt(1_000_000);
        switch (kind) {
            case "late" -> {
                bed.chaosMinions.forEach(m -> m.lateShare = 0.06);
                Minion.sleep(5_000);
                bed.chaosMinions.forEach(m -> m.lateShare = 0);
            }
            case "reborn" -> {
                ChaosMinion m = minion();
                m.crash();
                Minion.sleep(200 + random.nextInt(3_000));
                m.start(m.id);
            }
            case "crash" -> {
                ChaosMinion m = minion();
                m.crash();
                Minion.sleep(200 + random.nextInt(3_000));
                m.start("n-" + n);
            }
            case "leave" -> minion().leave(2_500 + random.nextInt(2_000), "n-" + n, random.nextInt(1_500));
            case "unhealthy" -> {
                ChaosMinion m = minion();
                m.unhealthy = true;
                Minion.sleep(4_000);
                m.unhealthy = false;
            }
            case "fail" -> {
                ChaosMinion m = minion();
                m.failShare = 1;
                Minion.sleep(3_000);
                m.failShare = 0;
            }
            case "delay" -> {
                ChaosMinion m = minion();
                m.delayMillis = 800;
                Minion.sleep(4_000);
                m.delayMillis = 0;
            }
            case "slow" -> {
                ChaosMinion m = minion();
                m.slowness = 6;
                Minion.sleep(5_000);
                m.slowness = 1;
            }
            case "silent" -> store(Store.Action.SILENT, 1.0, 4_500, "");
            case "busy" -> store(Store.Action.BUSY, 1.0, 4_500, "");
            case "lose" -> store(Store.Action.LOSE_ANSWER, 0.35, 4_500, "");
            case "storeslow" -> {
                bed.store.appendMillis = 240;
                Minion.sleep(4_500);
                bed.store.appendMillis = 3;
            }
            case "refuse" ->
                    store(
                            random.nextBoolean() ? Store.Action.BUSY : Store.Action.SILENT,
                            1.0,
                            7_000,
                            random.nextBoolean()
                                    ? ip(bed.dispatcher())
                                    : bed.entryIp(random.nextInt(ENTRIES)));
            case "part" -> {
                int part = random.nextInt(4);
                bed.store.fault = (c, o, t, p) ->
                        t.equals("keyed.intake") && p == part ? Store.Action.SILENT : Store.Action.SERVE;
                Minion.sleep(4_500);
                bed.store.fault = (c, o, t, p) -> Store.Action.SERVE;
            }
            case "none" -> Minion.sleep(1_000);
            case "deadconns" -> bed.store.silenceConnections();
            case "killdispatcher" -> killAndRestart(bed.dispatcher());
            case "killentry" -> killAndRestart("entry-" + random.nextInt(ENTRIES));
            case "killagent" -> killAndRestart("agent-" + random.nextInt(AGENTS));
            case "freezedispatcher" -> freeze(bed.dispatcher());
            case "freezeagent" -> freeze("agent-" + random.nextInt(AGENTS));
            case "termentry" -> termAndRestart("entry-" + random.nextInt(ENTRIES));
            case "termdispatcher" -> termAndRestart(bed.dispatcher());
            case "termagent" -> termAndRestart("agent-" + random.nextInt(AGENTS));
            case "killall" -> {
                for (int i = 0; i < ENTRIES; i++) {
                    bed.kill("entry-" + i);
                }
                for (int i = 0; i < AGENTS; i++) {
                    bed.kill("agent-" + i);
                }
                Minion.sleep(1_000);
                for (int i = 0; i < ENTRIES; i++) {
                    bed.relaunch("entry-" + i);
                }
                for (int i = 0; i < AGENTS; i++) {
                    bed.relaunch("agent-" + i);
                }
            }
            default -> throw new IllegalArgumentException(kind);
        }
    }

    private String ip(String entry) {
        return entry.isEmpty() ? "" : bed.entryIp(Integer.parseInt(entry.substring(6)));
    }

    private void store(Store.Action action, double share, long millis, String caller) {
        bed.store.fault = (c, o, t, p) ->
                (caller.isEmpty() || c.equals(caller))
                                && (action != Store.Action.LOSE_ANSWER || o.equals("log-append"))
                                && Math.random() < share
                        ? action
                        : Store.Action.SERVE;
        Minion.sleep(millis);
        bed.store.fault = (c, o, t, p) -> Store.Action.SERVE;
    }

    private void killAndRestart(String name) throws Exception {
        if (name.isEmpty()) {
            return;
        }
        bed.kill(name);
        Minion.sleep(300 + random.nextInt(3_000));
        bed.relaunch(name);
    }

    private void termAndRestart(String name) throws Exception {
        if (name.isEmpty()) {
            return;
        }
        bed.term(name);
        Minion.sleep(300);
        bed.relaunch(name);
    }

    private void freeze(String name) throws Exception {
        if (name.isEmpty()) {
            return;
        }
        bed.signal(name, "STOP");
        Minion.sleep(1_500 + random.nextInt(3_500));
        bed.signal(name, "CONT");
    }
}
