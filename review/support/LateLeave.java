import java.nio.file.Path;
import java.util.List;

/**
 * Clients hand in small jobs all the time. A minion is emptied and taken away: it drains, sends its
 * deregistration and ends; two seconds later it starts again under the id that it had. With
 * trouble, the deregistration is held up on its way, and arrives when the new life is at work. Rule
 * TWICE: no task runs twice at the same time, and none starts again after it has ended done.
 */
public final class LateLeave {
    private static final int ROUNDS = 4;

    private LateLeave() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toRealPath();
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
                                        bed.submit(Bed.newId(), i % 3, Bed.job("ms=1500", 4, 16_000));
                                        Thread.sleep(600);
                                    }
                                } catch (InterruptedException e) {
                                    // The traffic ends.
                                }
                            });
            clients.setDaemon(true);
            clients.start();
            for (int i = 0; i < ROUNDS; i++) {
                Thread.sleep(2_000);
                Minion minion = bed.minions.get(i);
                minion.drain();
                Thread.sleep(3_000);
                minion.deregister(trouble ? 5_000 : 0);
                Thread.sleep(200);
                minion.crash();
                Thread.sleep(1_800);
                minion.start();
                Thread.sleep(4_500);
            }
            clients.interrupt();
            Thread.sleep(5_000);
            List<String> broken = Twice.violations(bed.runs, recorder.millis());
            broken.forEach(recorder::say);
            recorder.say(
                    bed.runs.size() + " runs; "
                            + (broken.isEmpty() ? "TWICE: held" : "TWICE: broken"));
            status = broken.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
