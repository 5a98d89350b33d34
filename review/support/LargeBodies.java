import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients hand in small jobs all the time. With trouble, two clients send malformed bodies of just
 * under 1 MiB to one entry, which must refuse them and go on.
 */
public final class LargeBodies {
    private LargeBodies() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toRealPath();
        int senders = Integer.parseInt(arguments[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"));
                Bed bed = new Bed(folder.getParent().getParent(), recorder, 3, 3)) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
            bed.startAll();
            String body =
                    "{\"spec\":\"x\",\"steps\":[" + "{},".repeat(349_000) + "{}]}";
            int restarts = 0;
            for (int i = 0; i < 10; i++) {
                List<Thread> threads = new ArrayList<>();
                for (int s = 0; s < senders && trouble; s++) {
                    Thread thread = new Thread(() -> bed.submit(Bed.newId(), 0, body));
                    thread.start();
                    threads.add(thread);
                }
                bed.submit(Bed.newId(), 1, Bed.job("ms=100", 2));
                for (Thread thread : threads) {
                    thread.join();
                }
                Thread.sleep(500);
                restarts += bed.restartEnded();
            }
            recorder.say(restarts + " processes ended by themselves");
            status = restarts > 0 ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
