package org.fescueloom.daemon.logging;

import java.io.PrintStream;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes log lines to standard output on a thread of its own.
 *
 * <p>Never blocks a caller: when standard output stalls or too many lines come, lines are dropped,
 * and a line with the event {@code log-dropped} tells how many. Chosen in the configuration of the
 * logging library by the name "bounded console".
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
    /** Some seconds of lines at the highest rate. */
    private static final int QUEUE_CAPACITY = 2_000;

    /** A dispatcher writes some 20 lines for each job. */
    private static final int MAX_LINES_PER_SECOND = 400;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final LineQueue queue =
            new LineQueue(QUEUE_CAPACITY, MAX_LINES_PER_SECOND, System::currentTimeMillis);
    private final Thread writerThread = new Thread(this::writeLines, "log-writer");
    private final PrintStream out;

    /**
     * Creates the writer; called by the logging library.
     *
     * @param properties the properties of the configuration, not null
     */
    public BoundedConsoleWriter(Map<String, String> properties) {
        this(properties, System.out);
    }

    /** Creates a writer to a given stream. */
    BoundedConsoleWriter(Map<String, String> properties, PrintStream out) {
        super(properties);
        this.out = out;
        writerThread.setDaemon(true);
        writerThread.start();
    }

    @Override
    public void write(LogEntry entry) {
        boolean important = entry.getLevel().compareTo(Level.WARN) >= 0;
        queue.add(render(entry), important);
    }

    @Override
    public void flush() {
        // The thread writes each line at once.
    }

    /** Writes what waits, for a bounded time. */
    @Override
    public void close() throws InterruptedException {
        queue.close();
        writerThread.join(CLOSE_TIMEOUT_MILLIS);
    }

    @Override
    public Set<LogEntryValue> getRequiredLogEntryValues() {
        Set<LogEntryValue> values = EnumSet.copyOf(super.getRequiredLogEntryValues());
        values.add(LogEntryValue.LEVEL);
        return values;
    }

    private void writeLines() {
        try {
            for (String line = queue.take(); line != null; line = queue.take()) {
                out.print(line);
                out.flush();
                long dropped = queue.takeDroppedCount();
                if (dropped > 0) {
                    out.println(EventLog.event("log-dropped").field("lines", dropped));
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
