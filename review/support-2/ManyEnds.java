import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Many small tasks end on their minions while the dispatcher is replaced. */
final class ManyEnds {
    static final String CONFIGURATION =
            """
            {"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s",
            "priority":1,"attempts":4,"slack_factor":2.0,"slo_ms":1000}],
            "services":[{"name":"s","enforces_capacity":false}],
            "tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":0}}]}""";

    private static final String JOB = "00000000000000a1";
    private static final int TASKS = Integer.getInteger("tasks", 2_400);

    private static long firstStartMillis;

    private ManyEnds() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Bed bed = new Bed(2, 2, 32_000, 4, task -> workMillis())) {
            bed.limitTime(Path.of(arguments[0]));
            try {
                status = run(bed, trouble);
            } catch (IllegalStateException e) {
                bed.record.say("could not run: " + e.getMessage());
            } finally {
                bed.record.write(Path.of(arguments[0]));
            }
        }
        System.exit(status);
    }

    /** Returns how long a task that starts now works: all tasks end within the same second. */
    private static synchronized long workMillis() {
        long now = System.nanoTime() / 1_000_000;
        if (firstStartMillis == 0) {
            firstStartMillis = now;
        }
        return Math.max(500, firstStartMillis + 12_000 - now) + Minion.random(0, 1_000);
    }

    private static int run(Bed bed, boolean trouble) throws Exception {
        bed.start(CONFIGURATION);
        Map<String, Object> step =
                Map.of("count", TASKS, "cpu", 25, "mem_mb", 10, "estimate_ms", 12_000);
        if (!bed.submit(JOB, Map.of("spec", "small tasks", "steps", List.of(step)))) {
            throw new IllegalStateException("the job was not accepted");
        }
        bed.require(
                20_000,
                TASKS + " tasks have started",
                () -> bed.ledger.count(run -> true) >= TASKS);
        bed.require(
                20_000,
                "a twentieth of the tasks has ended",
                () -> bed.ledger.count(run -> run.endMillis >= 0) >= TASKS / 20);
        if (trouble) {
            bed.kill(bed.dispatcher());
        }
        boolean succeeded =
                Bed.await(
                        40_000,
                        () ->
                                bed.state(1, JOB).equals("succeeded")
                                        || bed.state(0, JOB).equals("succeeded"));
        bed.record.say("the job " + (succeeded ? "has succeeded" : "has not succeeded"));
        Minion.sleep(3_000);
        List<String> twice = bed.ledger.twice();
        twice.forEach(bed.record::note);
        bed.record.say(
                "%d starts of %d tasks; TWICE is broken for %d pairs of runs"
                        .formatted(bed.ledger.count(run -> true), TASKS, twice.size()));
        return twice.isEmpty() ? 0 : 1;
    }
}
