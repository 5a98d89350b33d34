import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/**
 * Clients hand in small jobs all the time. With trouble, minions crash one after the other, and
 * start again at once under the id that they had. Rule TWICE: no task runs twice at the same time,
 * and none starts again after it has ended done.
 */
public final class Reborn {
    private Reborn() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toRealPath();
        long downMillis = Long.parseLong(arguments[1]);
        int crashes = Integer.parseInt(arguments[2]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"));
                Bed bed = new Bed(folder.getParent().getParent(), recorder, 3, 7)) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
            bed.startAll();
            Thread clients =
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
                                        bed.submit(Bed.newId(), i % 3, Bed.job("ms=400", 3));
                                        Thread.sleep(330);
                                    }
                                } catch (InterruptedException e) {
                                    // The traffic ends.
                                }
                            });
            clients.setDaemon(true);
            clients.start();
            Random random = new Random();
            for (int i = 0; i < crashes; i++) {
                Thread.sleep(1_400 - downMillis + random.nextInt(100));
                if (trouble) {
                    Minion minion = bed.minions.get(i % bed.minions.size());
                    minion.crash();
                    Thread.sleep(downMillis);
                    minion.start();
                }
            }
            Thread.sleep(2_000);
            clients.interrupt();
            Thread.sleep(4_000);
            List<String> broken = Twice.violations(bed.runs, recorder.millis());
            broken.forEach(recorder::say);
            recorder.say(
                    bed.runs.size() + " runs; " + (broken.isEmpty() ? "TWICE: held" : "TWICE: broken"));
            status = broken.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
