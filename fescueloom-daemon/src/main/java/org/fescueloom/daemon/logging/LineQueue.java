package org.fescueloom.daemon.logging;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Holds lines between those who log and the one thread that writes.
 *
 * <p>To add a line never blocks: beyond a number of lines that wait, or a number of lines in a
 * second, it is dropped and counted. Warnings and errors are not counted against the rate.
 */
final class LineQueue {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final int capacity;
    private final int maxLinesPerSecond;
    private final LongSupplier clockMillis;
    private final Deque<String> lines = new ArrayDeque<>();
    private long currentSecond = Long.MIN_VALUE;
    private int linesInSecond;
    private long droppedCount;
    private boolean closed;

    /**
     * Creates an empty queue.
     *
     * @param capacity how many lines may wait, at least 1
     * @param maxLinesPerSecond how many lines of lower levels are taken in a second, at least 1
     * @param clockMillis gives the time in milliseconds, not null
     * @throws IllegalArgumentException if a number is not positive
     */
    LineQueue(int capacity, int maxLinesPerSecond, LongSupplier clockMillis) {
        if (capacity < 1 || maxLinesPerSecond < 1) {
            throw new IllegalArgumentException("the bounds of the queue must be positive");
        }
        this.capacity = capacity;
        this.maxLinesPerSecond = maxLinesPerSecond;
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
    }

    /** Adds a line, or counts it as dropped. */
    synchronized void add(String line, boolean important) {
        if (lines.size() >= capacity || (!important && !countWithinRate())) {
            droppedCount++;
            return;
        }
        lines.add(line);
        notifyAll();
    }

    private boolean countWithinRate() {
        long now = clockMillis.getAsLong() / MILLIS_PER_SECOND;
        if (now != currentSecond) {
            currentSecond = now;
            linesInSecond = 0;
        }
        return ++linesInSecond <= maxLinesPerSecond;
    }

    /** Waits for a line; returns null once the queue is closed and empty. */
    synchronized String take() throws InterruptedException {
        while (lines.isEmpty() && !closed) {
            wait();
        }
        return lines.poll();
    }

    /** Returns how many lines were dropped since the last call. */
    synchronized long takeDroppedCount() {
        long count = droppedCount;
        droppedCount = 0;
        return count;
    }

    /** Lets the writer end once it has written what waits. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
