import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Records what was sent, answered and run, with the time since the start of the test. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String line) {
        lines.add("%9.3f %s".formatted(millis() / 1_000.0, line));
    }

    /** Notes a line and prints it. */
    void say(String line) {
        note(line);
        System.out.println("%9.3f %s".formatted(millis() / 1_000.0, line));
    }

    synchronized void write(Path file) {
        try {
            Files.write(file, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
