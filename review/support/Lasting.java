import java.nio.file.Path;

/**
 * A client hands in a job of two tasks that last. With trouble, the first run of one of them ends
 * `done` after three seconds; without, both work on. Rule LOST: a task that lasts has to be
 * restarted however it ends.
 */
public final class Lasting {
    /** "From 6 s after its last run", for 3 s, with the 4 s before them calm. */
    private static final long BOUND_MILLIS = 13_000;

    private Lasting() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toRealPath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"));
                Bed bed = new Bed(folder.getParent().getParent(), recorder, 3, 3)) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
            bed.startAll();
            String id = Bed.newId();
            String body =
                    "{\"spec\":\"ms=100000" + (trouble ? ";first=3000" : "")
                            + "\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,"
                            + "\"estimate_ms\":900,\"long_running\":true}]}";
            recorder.say("a job of two tasks that last: " + body);
            if (bed.submit(id, 0, body).status() != 200) {
                throw new IllegalStateException("the job was not accepted");
            }
            Thread.sleep(6_000);
            long until = recorder.millis() + BOUND_MILLIS + 12_000;
            boolean broken = false;
            while (recorder.millis() < until && !broken) {
                Thread.sleep(1_000);
                bed.state(id, 1);
                for (int task = 0; task < 2; task++) {
                    String name = id + ".0.0." + task;
                    boolean running =
                            bed.runs.stream().anyMatch(r -> r.task.equals(name) && r.ended < 0);
                    long last =
                            bed.runs.stream()
                                    .filter(r -> r.task.equals(name))
                                    .mapToLong(r -> r.ended)
                                    .max()
                                    .orElse(0);
                    if (!running && recorder.millis() - last > BOUND_MILLIS) {
                        recorder.say(
                                "task " + name + " has not run for "
                                        + (recorder.millis() - last) + " ms, runs: "
                                        + bed.runs.stream()
                                                .filter(r -> r.task.equals(name))
                                                .toList());
                        broken = true;
                    }
                }
            }
            recorder.say("the job is shown as " + bed.state(id, 2).body());
            recorder.say(broken ? "LOST: broken" : "LOST: held");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
