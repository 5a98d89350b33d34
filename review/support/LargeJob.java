import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients hand in small jobs all the time. With trouble, one of them hands in one large job in
 * between, of the shape that an argument names. Rule LOST: after the end of the traffic no accepted
 * job may have nothing running for 3 s while its turn has come and there is capacity.
 */
public final class LargeJob {
    private static final int SMALL_JOBS = 24;
    private static final long GAP_MILLIS = 700;

    /** finish_s (14) after the end of the traffic, and the 3 s and the 4 s before of the rule. */
    private static final long FINISH_MILLIS = 24_000;

    private LargeJob() {}

    private static String largeJob(String shape) {
        if (shape.equals("wide")) {
            String step = "{\"count\":2400,\"cpu\":10,\"mem_mb\":16,\"estimate_ms\":900";
            return "{\"spec\":\"ms=900\",\"steps\":[" + step + "}," + step
                    + ",\"depends_on\":[0]}," + step + ",\"depends_on\":[1]}]}";
        }
        long weekAgo = System.currentTimeMillis() - 7L * 86_400_000;
        if (shape.equals("schedule")) {
            return "{\"spec\":\"ms=50\",\"steps\":[{\"count\":1,\"cpu\":10,\"mem_mb\":16,"
                    + "\"estimate_ms\":50}],\"start_at_ms\":" + weekAgo
                    + ",\"interval_ms\":60000,\"repeat_count\":10000}";
        }
        return "{\"spec\":\"ms=50\",\"steps\":[{\"count\":" + shape + ",\"cpu\":10,\"mem_mb\":16,"
                + "\"estimate_ms\":50}],\"start_at_ms\":" + weekAgo
                + ",\"interval_ms\":60000,\"repeat_count\":10000}";
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toRealPath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"));
                Bed bed = new Bed(folder.getParent().getParent(), recorder, 3, 3)) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
            bed.startAll();
            Map<String, Long> accepted = new LinkedHashMap<>();
            int restarts = 0;
            for (int i = 0; i < SMALL_JOBS; i++) {
                if (i == SMALL_JOBS / 3 && trouble) {
                    String id = Bed.newId();
                    String body = largeJob(arguments[1]);
                    recorder.say("a large job " + id + " comes: " + body);
                    Bed.Answer answer = bed.submit(id, 0, body);
                    recorder.say("it is answered " + answer.status());
                }
                String id = Bed.newId();
                for (int attempt = 0; attempt < 4; attempt++) {
                    if (bed.submit(id, (i + attempt) % 3, Bed.job("ms=400", 2)).status() == 200) {
                        accepted.put(id, recorder.millis());
                        break;
                    }
                    Thread.sleep(200);
                }
                restarts += bed.restartEnded();
                Thread.sleep(GAP_MILLIS);
            }
            recorder.say("the traffic has ended; " + accepted.size() + " small jobs were accepted");
            long end = recorder.millis() + FINISH_MILLIS;
            while (recorder.millis() < end) {
                restarts += bed.restartEnded();
                Thread.sleep(200);
            }
            List<String> lost = new ArrayList<>();
            for (String id : accepted.keySet()) {
                Bed.Answer answer = bed.state(id, 1);
                if (!answer.body().contains("succeeded")) {
                    long begun = bed.runs.stream().filter(r -> r.task.startsWith(id)).count();
                    lost.add(id);
                    recorder.say(
                            "job " + id + ", accepted at " + accepted.get(id) + " ms, is shown as "
                                    + answer.status() + " " + answer.body() + "; starts: "
                                    + begun);
                }
            }
            long now = recorder.millis();
            long idle =
                    bed.runs.stream().mapToLong(r -> r.ended < 0 ? now : r.ended).max().orElse(0);
            recorder.say(
                    "no minion has worked on anything for " + (now - idle) + " ms; "
                            + bed.store.oversized() + " appends were rejected for their size; "
                            + restarts + " processes ended by themselves");
            boolean broken = !lost.isEmpty() && now - idle > 7_000;
            recorder.say(broken ? "LOST: broken" : "LOST: held");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
