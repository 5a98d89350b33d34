import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start of the script. */
final class Recorder implements AutoCloseable {
    private final long started = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long millis() {
        return (System.nanoTime() - started) / 1_000_000L;
    }

    synchronized void note(String line) {
        out.printf("%7d  %s%n", millis(), line);
        out.flush();
    }

    /** Notes a line and prints it. */
    void say(String line) {
        note(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
