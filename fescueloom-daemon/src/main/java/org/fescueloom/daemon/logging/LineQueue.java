package org.fescueloom.daemon.logging;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Passes log lines from the logging threads to the one thread that writes them.
 *
 * <p>Adding a line never waits for the writer: if the queue is full, or if the line exceeds the
 * rate limit, the line is dropped and counted. The rate limit does not apply to important lines,
 * which are warnings and errors.
 */
final class LineQueue {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final int capacity;
    private final int maxLinesPerSecond;
    private final LongSupplier clockMillis;
    private final Deque<String> lines = new ArrayDeque<>();
    // Second of the clock that linesInSecond counts; Long.MIN_VALUE before the first line
    private long currentSecond = Long.MIN_VALUE;
    private int linesInSecond;
    private long droppedCount;
    private boolean closed;

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of queued lines, at least 1
     * @param maxLinesPerSecond the maximum number of lines that are not important and are accepted
     *     in one second of the clock, at least 1
     * @param clockMillis supplies the current time in milliseconds, not null
     * @throws IllegalArgumentException if {@code capacity} or {@code maxLinesPerSecond} is not
     *     positive
     */
    LineQueue(int capacity, int maxLinesPerSecond, LongSupplier clockMillis) {
        if (capacity < 1 || maxLinesPerSecond < 1) {
            throw new IllegalArgumentException(
                    "capacity and maxLinesPerSecond must be positive, not "
                            + capacity
                            + " and "
                            + maxLinesPerSecond);
        }
        this.capacity = capacity;
        this.maxLinesPerSecond = maxLinesPerSecond;
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
    }

    /**
     * Adds a line, or counts it as dropped if the queue is full or the rate limit is exceeded.
     *
     * @param line the line, not null
     * @param important whether the line is exempt from the rate limit
     */
    synchronized void add(String line, boolean important) {
        // A line dropped because the queue is full does not count against the rate limit.
        if (lines.size() >= capacity || (!important && !countWithinRate())) {
            droppedCount++;
            return;
        }
        lines.add(line);
        notifyAll();
    }

    /** Counts one more line in the current second and tells whether it is within the rate limit. */
    private boolean countWithinRate() {
        long second = clockMillis.getAsLong() / MILLIS_PER_SECOND;
        if (second != currentSecond) {
            currentSecond = second;
            linesInSecond = 0;
        }
        return ++linesInSecond <= maxLinesPerSecond;
    }

    /**
     * Removes the first line; waits while the queue is empty and not closed.
     *
     * @return the line; null if the queue is closed and empty
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    synchronized String take() throws InterruptedException {
        while (lines.isEmpty() && !closed) {
            wait();
        }
        return lines.poll();
    }

    /** Returns the number of lines dropped since the last call and resets it to 0. */
    synchronized long takeDroppedCount() {
        long count = droppedCount;
        droppedCount = 0;
        return count;
    }

    /** Closes the queue; the lines in it can still be taken. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
