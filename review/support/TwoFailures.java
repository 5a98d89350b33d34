import java.nio.file.Path;
import java.util.List;

/**
 * Five minions that are not all one size: two have eight accelerators, three have four. A client
 * hands in a job of one task that needs eight. With trouble its first two runs fail, of four that
 * may. Rule LOST: after finish_s the job may not have nothing running for 3 s while its turn has
 * come, there is capacity for it twice over, and nothing else is at work.
 */
public final class TwoFailures {
    /** finish_s (14) after the hand-in, then 3 s, and the 4 s before them; twice over. */
    private static final long FINISH_MILLIS = 42_000;

    private static final long IDLE_MILLIS = 7_000;

    private TwoFailures() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toRealPath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"));
                Bed bed = new Bed(folder.getParent().getParent(), recorder, 3, 5)) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
            for (int i = 2; i < 5; i++) {
                bed.minions.get(i).gpus = 4;
            }
            bed.startAll();
            String id = Bed.newId();
            String body =
                    "{\"spec\":\"ms=500" + (trouble ? ";fail=2" : "")
                            + "\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":256,\"gpu\":8,"
                            + "\"estimate_ms\":600}]}";
            recorder.say("a job of one task that needs 8 accelerators: " + body);
            if (bed.submit(id, 0, body).status() != 200) {
                throw new IllegalStateException("the job was not accepted");
            }
            long until = recorder.millis() + FINISH_MILLIS;
            boolean done = false;
            while (recorder.millis() < until && !done) {
                Thread.sleep(1_000);
                done = bed.state(id, 1).body().contains("succeeded");
            }
            List<Minion.Run> runs =
                    bed.runs.stream().filter(r -> r.task.startsWith(id)).toList();
            runs.forEach(r -> recorder.say(r.toString()));
            long idle =
                    recorder.millis()
                            - runs.stream()
                                    .mapToLong(r -> r.ended < 0 ? recorder.millis() : r.ended)
                                    .max()
                                    .orElse(0);
            boolean broken = !done && idle > IDLE_MILLIS;
            recorder.say(
                    "the job is shown as " + bed.state(id, 2).body() + "; it has had nothing"
                            + " running for " + idle + " ms, and both minions that it fits are"
                            + " idle");
            recorder.say(broken ? "LOST: broken" : "LOST: held");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
