import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** One job of 800 steps, which is due 20 times, comes while small jobs are handed in. */
final class ManySteps {
    private static final int SMALL_JOBS = 8;
    private static final int SMALL_TASKS = 2;
    private static final int SMALL_CPU = 500;
    private static final int STEPS = 800;
    private static final int TIMES = 20;
    private static final int LARGE_CPU = 3_000;

    private ManySteps() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Bed bed = new Bed(2, 2, JobWatch.MINION_CPU, 4, task -> Minion.random(800, 1_200))) {
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

    private static int run(Bed bed, boolean trouble) throws Exception {
        bed.start(ManyEnds.CONFIGURATION);
        bed.restartEnded();
        JobWatch watch = new JobWatch(bed, LARGE_CPU, SMALL_CPU);
        List<JobWatch.Job> jobs = new ArrayList<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            if (trouble && i == 2) {
                Map<String, Object> step =
                        Map.of("count", 1, "cpu", LARGE_CPU, "mem_mb", 10, "estimate_ms", 1_000);
                Map<String, Object> body =
                        Map.of(
                                "spec", "many steps",
                                "steps", Collections.nCopies(STEPS, step),
                                "repeat_count", TIMES);
                jobs.add(
                        watch.handIn(
                                new JobWatch.Job(
                                        JobWatch.LARGE_ID, (long) STEPS * TIMES, LARGE_CPU),
                                body));
                bed.record.say("the large job is accepted, " + Json.write(body).length + " bytes");
            }
            jobs.add(
                    watch.handIn(
                            "%016x".formatted(0xb0 + i), SMALL_TASKS, SMALL_CPU, "small job " + i));
            Minion.sleep(1_000);
        }
        return watch.judge(jobs);
    }
}
