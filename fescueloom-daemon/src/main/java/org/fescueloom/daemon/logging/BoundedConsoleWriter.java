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
 * Writes log lines to standard output on a separate thread.
 *
 * <p>Logging never blocks the calling thread. If standard output stalls or lines are logged faster
 * than the rate limit allows, lines are dropped. After the next line, the writer reports the number
 * of dropped lines with the event {@code log-dropped}. The configuration of the logging library
 * refers to this class by the name "bounded console".
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
    /** Maximum number of queued lines; enough for some seconds at the highest rate. */
    private static final int QUEUE_CAPACITY = 2_000;

    /**
     * Maximum number of lines below level WARN in a second. A dispatcher writes about 20 lines for
     * each job.
     */
    private static final int MAX_LINES_PER_SECOND = 400;

    /** How long {@link #close} waits for the queued lines to be written. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final LineQueue queue =
            new LineQueue(QUEUE_CAPACITY, MAX_LINES_PER_SECOND, System::currentTimeMillis);
    private final Thread writerThread = new Thread(this::writeLines, "log-writer");
    private final PrintStream out;

    /**
     * Creates a writer to standard output; called by the logging library.
     *
     * @param properties the properties of the writer in the configuration of the logging library,
     *     not null
     */
    public BoundedConsoleWriter(Map<String, String> properties) {
        this(properties, System.out);
    }

    /** Creates a writer to the given stream. */
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
        // The writer thread flushes after each line.
    }

    /** Closes the queue and waits for up to 500 ms for the queued lines to be written. */
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

    /** Writes lines until the queue is closed and empty. */
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
