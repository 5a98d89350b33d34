import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hands jobs in, and judges the rule LOST from finish_s after the last one. */
final class JobWatch {
    static final long MINION_CPU = 32_000;
    static final String LARGE_ID = "00000000000000a0";
    private static final long FINISH_MILLIS = 14_000;
    private static final long STILL_MILLIS = 3_000;
    private static final long WATCH_MILLIS = 20_000;

    private final Bed bed;
    private final int largeCpu;
    private final int smallCpu;

    /** Names a job, the number of its tasks and the processor time that each of them needs. */
    record Job(String id, long tasks, int cpu) {}

    JobWatch(Bed bed, int largeCpu, int smallCpu) {
        this.bed = bed;
        this.largeCpu = largeCpu;
        this.smallCpu = smallCpu;
    }

    /** Hands in a job of one step. */
    Job handIn(String id, int tasks, int cpu, String spec) {
        Map<String, Object> step =
                Map.of("count", tasks, "cpu", cpu, "mem_mb", 10, "estimate_ms", 1_000);
        return handIn(new Job(id, tasks, cpu), Map.of("spec", spec, "steps", List.of(step)));
    }

    Job handIn(Job job, Map<String, Object> body) {
        if (!bed.submit(job.id(), body)) {
            throw new IllegalStateException("job " + job.id() + " was not accepted");
        }
        return job;
    }

    private long done(Job job) {
        return bed.ledger.count(r -> r.task.startsWith(job.id() + '.') && r.end.equals("done"));
    }

    /** Waits for finish_s, watches the jobs, and returns the exit status of the case. */
    int judge(List<Job> jobs) {
        bed.record.say("all " + jobs.size() + " jobs are accepted");
        Minion.sleep(FINISH_MILLIS);
        boolean broken = watch(jobs);
        for (Job job : jobs) {
            bed.record.say(
                    "at the end: job %s is %s, %d of %d tasks are done"
                            .formatted(job.id(), bed.state(0, job.id()), done(job), job.tasks()));
        }
        bed.record.say("processes that ended by themselves: " + bed.ownEnds);
        return broken ? 1 : 0;
    }

    /** Watches for a job that has nothing running for 3 s though there is room. */
    private boolean watch(List<Job> jobs) {
        Map<Job, Long> stillSince = new HashMap<>();
        boolean broken = false;
        long until = bed.record.millis() + WATCH_MILLIS;
        while (bed.record.millis() < until) {
            long used = 0;
            long mostFree = 0;
            for (Minion minion : bed.minions) {
                long usedHere = minion.usedCpu(LARGE_ID, largeCpu, smallCpu);
                used += usedHere;
                mostFree = Math.max(mostFree, MINION_CPU - usedHere);
            }
            for (Job job : jobs) {
                long running =
                        bed.ledger.count(
                                r -> r.task.startsWith(job.id() + '.') && r.endMillis < 0);
                boolean still =
                        running == 0
                                && done(job) < job.tasks()
                                && mostFree >= 2 * job.cpu()
                                && 2 * used < bed.minions.size() * MINION_CPU;
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
                                            bed.state(1, job.id()),
                                            done(job),
                                            job.tasks(),
                                            now - stillSince.get(job)));
                }
            }
            Minion.sleep(200);
        }
        return broken;
    }
}
