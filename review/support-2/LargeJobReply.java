import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One job of 2,400 small tasks comes while a small job is handed in each second. */
final class LargeJobReply {
    private static final int SMALL_JOBS = 8;
    private static final int SMALL_TASKS = 8;
    private static final int SMALL_CPU = 500;
    private static final int LARGE_TASKS = 2_400;
    private static final int LARGE_CPU = 10;

    private LargeJobReply() {}

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

    /** Returns a text of at most 4,000 bytes, which is JSON itself. */
    private static String spec() {
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; text.length() < 3_920; i++) {
            text.append("{\"bin\":\"%03d\",\"form\":\"r\",\"coil\":\"g16\"},\n".formatted(i));
        }
        return text.append("{}]").toString();
    }

    private static int run(Bed bed, boolean trouble) throws Exception {
        bed.start(ManyEnds.CONFIGURATION);
        bed.restartEnded();
        JobWatch watch = new JobWatch(bed, LARGE_CPU, SMALL_CPU);
        List<JobWatch.Job> jobs = new ArrayList<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            if (trouble && i == 2) {
                jobs.add(watch.handIn(JobWatch.LARGE_ID, LARGE_TASKS, LARGE_CPU, spec()));
                bed.record.say("the large job is accepted");
            }
            jobs.add(
                    watch.handIn(
                            "%016x".formatted(0xb0 + i), SMALL_TASKS, SMALL_CPU, "small job " + i));
            Minion.sleep(1_000);
        }
        return watch.judge(jobs);
    }
}
