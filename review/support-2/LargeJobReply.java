import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One job of 2,400 small tasks comes while a small job is handed in each second. Judges the rule
 * LOST from finish_s after the last job was handed in.
 */
final class LargeJobReply {
    private static final int SMALL_JOBS = 8;
    private static final int SMALL_TASKS = 8;
    private static final int SMALL_CPU = 500;
    private static final int LARGE_TASKS = 2_400;
    private static final int LARGE_CPU = 10;
    private static final int MINIONS = 2;
    private static final long MINION_CPU = 32_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long STILL_MILLIS = 3_000;
    private static final long WATCH_MILLIS = 20_000;

    private record Job(String id, int tasks, int cpu) {}

    private LargeJobReply() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Bed bed = new Bed(2, MINIONS, MINION_CPU, 4, task -> Minion.random(800, 1_200))) {
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
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            if (trouble && i == 2) {
                Job large = new Job("%016x".formatted(0xa0), LARGE_TASKS, LARGE_CPU);
                handIn(bed, large, spec());
                jobs.add(large);
                bed.record.say("the large job is accepted");
            }
            Job small = new Job("%016x".formatted(0xb0 + i), SMALL_TASKS, SMALL_CPU);
            handIn(bed, small, "small job " + i);
            jobs.add(small);
            Minion.sleep(1_000);
        }
        bed.record.say("all " + jobs.size() + " jobs are accepted");
        Minion.sleep(FINISH_MILLIS);
        boolean broken = judge(bed, jobs);
        for (Job job : jobs) {
            bed.record.say(
                    "at the end: job %s is %s, %d of %d tasks are done"
                            .formatted(job.id(), bed.state(0, job.id()), done(bed, job), job.tasks()));
        }
        bed.record.say("processes that ended by themselves: " + bed.ownEnds);
        return broken ? 1 : 0;
    }

    private static void handIn(Bed bed, Job job, String spec) {
        Map<String, Object> step =
                Map.of("count", job.tasks(), "cpu", job.cpu(), "mem_mb", 10, "estimate_ms", 1_000);
        if (!bed.submit(job.id(), Map.of("spec", spec, "steps", List.of(step)))) {
            throw new IllegalStateException("job " + job.id() + " was not accepted");
        }
    }

    private static long done(Bed bed, Job job) {
        return bed.ledger.count(r -> r.task.startsWith(job.id() + '.') && r.end.equals("done"));
    }

    /** Watches for a job that has nothing running for 3 s though there is room. */
    private static boolean judge(Bed bed, List<Job> jobs) {
        Map<Job, Long> stillSince = new HashMap<>();
        boolean broken = false;
        long until = bed.record.millis() + WATCH_MILLIS;
        while (bed.record.millis() < until) {
            long used = 0;
            long mostFree = 0;
            for (Minion minion : bed.minions) {
                long usedHere = minion.usedCpu(LARGE_CPU, SMALL_CPU);
                used += usedHere;
                mostFree = Math.max(mostFree, MINION_CPU - usedHere);
            }
            for (Job job : jobs) {
                String state = bed.state(1, job.id());
                long running =
                        bed.ledger.count(
                                r -> r.task.startsWith(job.id() + '.') && r.endMillis < 0);
                boolean still =
                        running == 0
                                && done(bed, job) < job.tasks()
                                && mostFree >= 2 * job.cpu()
                                && 2 * used < MINIONS * MINION_CPU
                                && !state.equals("succeeded");
                long now = bed.record.millis();
                if (!still) {
                    stillSince.remove(job);
                } else if (now - stillSince.computeIfAbsent(job, j -> now) >= STILL_MILLIS
                        && !broken) {
                    broken = true;
                    bed.record.say(
                            "LOST: job %s is %s, %d of %d tasks are done, none runs since %d ms"
                                    .formatted(
                                            job.id(),
                                            state,
                                            done(bed, job),
                                            job.tasks(),
                                            now - stillSince.get(job)));
                }
            }
            Minion.sleep(500);
        }
        return broken;
    }
}
