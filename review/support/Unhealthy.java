import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients hand in jobs of two steps: one task of 15 s, then two tasks that each take half a minion.
 * With trouble, one minion of seven is unhealthy for a while when the second steps begin: it
 * answers starts with 503, having done nothing, and reports and lists as before. Rule LOST: later
 * than finish_s after the end of the traffic no accepted job may have nothing running for 3 s while
 * the turn of a task has come, there is capacity for it twice over, and under half of the service's
 * capacity is in use.
 */
public final class Unhealthy {
    private static final int MINIONS = 7;
    private static final int CORES = 32;
    private static final long FINISH_MILLIS = 14_000;
    private static final long UNHEALTHY_MILLIS = 6_000;
    private static final long LOST_MILLIS = 3_000;
    private static final String BODY =
            "{\"spec\":\"begin=15000;ms=400\",\"steps\":[{\"count\":1,\"cpu\":1000,"
                    + "\"mem_mb\":256,\"estimate_ms\":15000},{\"count\":2,\"cpu\":16000,"
                    + "\"mem_mb\":256,\"estimate_ms\":500,\"depends_on\":[0]}]}";

    private Unhealthy() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toRealPath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"));
                Bed bed = new Bed(folder.getParent().getParent(), recorder, 3, MINIONS)) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
            bed.startAll();
            // For each accepted job, how long it has had nothing running although it could.
            Map<String, Long> idleSince = new LinkedHashMap<>();
            Map<String, Long> longestIdle = new LinkedHashMap<>();
            recorder.say("jobs of the form " + BODY);
            for (int i = 0; i < MINIONS; i++) {
                String id = Bed.newId();
                if (bed.submit(id, i % 3, BODY).status() == 200) {
                    longestIdle.put(id, 0L);
                }
            }
            long end = recorder.millis();
            recorder.say("the traffic ends; " + longestIdle.size() + " jobs were accepted");
            long healthyAt = Long.MAX_VALUE;
            while (recorder.millis() < end + FINISH_MILLIS + 12_000) {
                Thread.sleep(50);
                long now = recorder.millis();
                if (trouble && healthyAt == Long.MAX_VALUE && now > end + FINISH_MILLIS) {
                    bed.minions.get(0).setUnhealthy(true);
                    healthyAt = now + UNHEALTHY_MILLIS;
                } else if (now > healthyAt) {
                    bed.minions.get(0).setUnhealthy(false);
                    healthyAt = Long.MAX_VALUE - 1;
                }
                if (now > end + FINISH_MILLIS) {
                    longestIdle.replaceAll(
                            (id, longest) -> {
                                boolean idle = couldRun(bed, id);
                                long since = idleSince.getOrDefault(id, now);
                                idleSince.put(id, idle ? since : Long.MAX_VALUE);
                                if (!idle) {
                                    idleSince.remove(id);
                                    return longest;
                                }
                                return Math.max(longest, now - since);
                            });
                }
            }
            boolean broken = false;
            for (Map.Entry<String, Long> job : longestIdle.entrySet()) {
                if (job.getValue() > LOST_MILLIS) {
                    broken = true;
                    recorder.say(
                            "job " + job.getKey() + " had nothing running for " + job.getValue()
                                    + " ms; runs: " + runsOf(bed, job.getKey()));
                }
                recorder.note("state " + bed.state(job.getKey(), 1).body());
            }
            recorder.say(
                    "the unhealthy minion refused " + bed.minions.get(0).refusedStarts()
                            + " starts");
            recorder.say(broken ? "LOST: broken" : "LOST: held");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static List<Minion.Run> runsOf(Bed bed, String id) {
        synchronized (bed.runs) {
            return bed.runs.stream().filter(r -> r.task.startsWith(id)).toList();
        }
    }

    /**
     * Tells whether a job has nothing running while the turn of a task of its second step has come,
     * healthy minions have room for two such tasks, and under half of all cores are in use.
     */
    private static boolean couldRun(Bed bed, String id) {
        List<Minion.Run> own = runsOf(bed, id);
        boolean turn =
                own.stream().anyMatch(r -> r.task.contains(".0.0.") && r.how.equals("done"));
        long done = own.stream().filter(r -> r.how.equals("done")).count();
        boolean running = own.stream().anyMatch(r -> r.ended < 0);
        if (!turn || running || done == 3) {
            return false;
        }
        double coresInUse = 0;
        int halves = 0;
        for (Minion minion : bed.minions) {
            double used = 0;
            synchronized (bed.runs) {
                for (Minion.Run r : bed.runs) {
                    if (r.minion.equals(minion.id) && r.ended < 0) {
                        used += r.task.contains(".0.1.") ? 16 : 1;
                    }
                }
            }
            coresInUse += used;
            if (minion != bed.minions.get(0)) {
                halves += (int) ((CORES - used) / 16);
            }
        }
        return halves >= 2 && coresInUse < MINIONS * CORES / 2.0;
    }
}
