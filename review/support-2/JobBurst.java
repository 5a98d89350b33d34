import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Seven jobs of many small tasks, which come one after the other or at once. Judges the rule LOST
 * from finish_s after the last job was handed in.
 */
final class JobBurst {
    private static final int JOBS = Integer.getInteger("jobs", 7);
    private static final int TASKS = Integer.getInteger("tasks", 800);
    private static final int CPU = 10;
    private static final int MINIONS = Integer.getInteger("minions", 2);
    private static final long MINION_CPU = 32_000;
    private static final long PAUSE_MILLIS = 1_500;
    private static final long FINISH_MILLIS = 14_000;
    private static final long STILL_MILLIS = 3_000;
    private static final long WATCH_MILLIS = 20_000;

    private JobBurst() {}

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
    static String spec() {
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; text.length() < 3_920; i++) {
            text.append("{\"bin\":\"%03d\",\"form\":\"r\",\"coil\":\"g16\"},\n".formatted(i));
        }
        return text.append("{}]").toString();
    }

    private static String id(int job) {
        return "%016x".formatted(0xb0 + job);
    }

    private static int run(Bed bed, boolean trouble) throws Exception {
        bed.start(ManyEnds.CONFIGURATION);
        bed.restartEnded();
        Map<String, Object> step =
                Map.of("count", TASKS, "cpu", CPU, "mem_mb", 10, "estimate_ms", 1_000);
        Map<String, Object> body = Map.of("spec", spec(), "steps", List.of(step));
        bed.record.say("spec of " + spec().getBytes().length + " bytes");
        List<Thread> clients = new ArrayList<>();
        List<Integer> refused = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int job = i;
            Thread client =
                    new Thread(
                            () -> {
                                if (!bed.submit(id(job), body)) {
                                    refused.add(job);
                                }
                            });
            client.start();
            clients.add(client);
            if (!trouble) {
                Minion.sleep(PAUSE_MILLIS);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        if (!refused.isEmpty()) {
            throw new IllegalStateException("jobs were not accepted: " + refused);
        }
        bed.record.say("all " + JOBS + " jobs are accepted");
        Minion.sleep(FINISH_MILLIS);
        return judge(bed);
    }

    private static int judge(Bed bed) {
        Map<Integer, Long> stillSince = new HashMap<>();
        boolean broken = false;
        long until = bed.record.millis() + WATCH_MILLIS;
        while (bed.record.millis() < until) {
            boolean room = false;
            long used = 0;
            for (Minion minion : bed.minions) {
                long usedHere = (long) minion.runningTasks() * CPU;
                used += usedHere;
                room |= MINION_CPU - usedHere >= 2 * CPU;
            }
            for (int job = 0; job < JOBS; job++) {
                String state = bed.state(1 - job % 2, id(job));
                String prefix = id(job) + '.';
                long running =
                        bed.ledger.count(r -> r.task.startsWith(prefix) && r.endMillis < 0);
                long done =
                        bed.ledger.count(r -> r.task.startsWith(prefix) && r.end.equals("done"));
                boolean still =
                        running == 0
                                && done < TASKS
                                && room
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
                                            id(job),
                                            state,
                                            done,
                                            TASKS,
                                            now - stillSince.get(job)));
                }
            }
            Minion.sleep(500);
        }
        for (int job = 0; job < JOBS; job++) {
            String prefix = id(job) + '.';
            bed.record.say(
                    "at the end: job %s is %s, %d of %d tasks are done"
                            .formatted(
                                    id(job),
                                    bed.state(0, id(job)),
                                    bed.ledger.count(
                                            r ->
                                                    r.task.startsWith(prefix)
                                                            && r.end.equals("done")),
                                    TASKS));
        }
        bed.record.say("processes that ended by themselves: " + bed.ownEnds);
        bed.record.say("beside: TWICE is broken for %d pairs of runs".formatted(bed.ledger.twice().size()));
        return broken ? 1 : 0;
    }
}
