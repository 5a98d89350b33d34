import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A machine loses power with its minion and its agent and comes back with its time of day set back;
 * an order that was sent before is carried out late.
 */
final class SetBackLife {
    private static final int ENTRIES = 2;
    private static final int AGENTS = 3;
    private static final long CLOCK_STEP_MILLIS = -2_400;
    private static final long LATE_MILLIS = 2_500;
    private static final int TASKS = 3;

    private SetBackLife() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Bed bed = new Bed(ENTRIES, 0, 0, 4, task -> 0)) {
            bed.limitTime(Path.of(arguments[0]));
            World world = new World(bed.record);
            Random random = new Random(8);
            for (int i = 0; i < AGENTS; i++) {
                bed.chaosMinions.add(
                        new ChaosMinion(
                                "m" + i,
                                "",
                                bed.agentIp(i),
                                bed.adminAddress(i),
                                "z",
                                "r1-1",
                                world,
                                random));
            }
            // The second run goes to the fullest minion that fits it.
            bed.chaosMinions.get(1).cpu = 31_000;
            bed.chaosMinions.get(2).cpu = 31_000;
            for (ChaosMinion minion : bed.chaosMinions) {
                minion.clockStartsAnew = true;
                minion.start("i-" + minion.name);
            }
            try {
                status = run(bed, world, trouble);
            } catch (IllegalStateException e) {
                bed.record.say("could not run: " + e.getMessage());
            } finally {
                bed.record.write(Path.of(arguments[0]));
            }
        }
        System.exit(status);
    }

    private static int run(Bed bed, World world, boolean trouble) throws Exception {
        bed.start(ManyEnds.CONFIGURATION);
        World.Job first = submit(bed, world, "00000000000000c0");
        bed.require(
                20_000,
                "each minion has ended a task",
                () -> bed.state(1, first.id).equals("succeeded"));
        // An earlier start of the machine; the job comes while it has just begun to work again.
        ChaosMinion minion = bed.chaosMinions.get(0);
        minion.crash();
        bed.kill("agent-0");
        Minion.sleep(500);
        bed.relaunch("agent-0");
        Minion.sleep(1_500);
        minion.start(minion.id);
        Minion.sleep(600);
        CountDownLatch withheld = new CountDownLatch(1);
        minion.withholdMillis = LATE_MILLIS;
        minion.onWithheld = withheld::countDown;
        minion.withholdsNextStart = trouble;
        World.Job job = submit(bed, world, "00000000000000c1");
        if (trouble) {
            if (!withheld.await(10, TimeUnit.SECONDS)) {
                throw new IllegalStateException("no task was ordered to the minion");
            }
            minion.crash();
            bed.kill("agent-0");
            minion.clockOffsetMillis = CLOCK_STEP_MILLIS;
            Minion.sleep(400);
            minion.start(minion.id);
            bed.relaunch("agent-0");
        }
        boolean succeeded = Bed.await(40_000, () -> bed.state(1, job.id).equals("succeeded"));
        bed.record.say("the job " + (succeeded ? "has succeeded" : "has not succeeded"));
        Minion.sleep(8_000);
        bed.record.say("TWICE is broken " + world.broken.size() + " times");
        return world.broken.stream().anyMatch(b -> b.startsWith("TWICE")) ? 1 : 0;
    }

    private static World.Job submit(Bed bed, World world, String id) {
        World.Step step =
                new World.Step(TASKS, 30_000, 100, 0, 1_200, false, false, false, 0, List.of());
        World.Job job = new World.Job(id, "tasks of 1.2 s", List.of(step), 1);
        synchronized (world) {
            world.jobs.put(job.id, job);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("count", step.count());
        body.put("cpu", step.cpu());
        body.put("mem_mb", step.mem());
        body.put("estimate_ms", step.millis());
        List<Object> steps = new ArrayList<>(List.of(body));
        if (!bed.submit(job.id, Map.of("spec", job.spec, "steps", steps))) {
            throw new IllegalStateException("the job was not accepted");
        }
        return job;
    }
}
