package org.fescueloom.daemon.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks on the thread of the test, by a clock that only the test advances. */
final class ManualScheduler extends AbstractExecutorService implements ScheduledExecutorService {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong((Task t) -> t.atMillis)
                            .thenComparingLong(t -> t.number));
    private long nowMillis = 100_000;
    private long wallClockOffsetMillis = 1_000_000;

    /** The number of the next task; tasks that are due at the same time run in this order. */
    private long number;

    private final class Task extends FutureTask<Object> implements ScheduledFuture<Object> {
        private final long atMillis;
        private final long number;

        Task(Runnable work, long atMillis, long number) {
            super(work, null);
            this.atMillis = atMillis;
            this.number = number;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(atMillis - nowMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MILLISECONDS), other.getDelay(TimeUnit.MILLISECONDS));
        }
    }

    /** Returns a contact with the log service that uses the clocks of this scheduler. */
    LogServiceContact logServiceContact() {
        return new LogServiceContact(() -> nowMillis, () -> nowMillis + wallClockOffsetMillis);
    }

    /**
     * Shifts the wall clock but not the monotonic clock, as a suspension or a step of the clock
     * does.
     */
    void shiftWallClock(long millis) {
        wallClockOffsetMillis += millis;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Advances the clock, and runs all tasks that become due, in order. */
    void advance(long millis) {
        long until = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis <= until) {
            Task task = tasks.poll();
            nowMillis = Math.max(nowMillis, task.atMillis);
            task.run();
            throwIfFailed(task);
        }
        nowMillis = until;
    }

    private static void throwIfFailed(Task task) {
        try {
            if (!task.isCancelled()) {
                task.get();
            }
        } catch (Exception e) {
            throw new IllegalStateException("a scheduled task failed", e);
        }
    }

    @Override
    public void execute(Runnable command) {
        schedule(command, 0, TimeUnit.MILLISECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Task task = new Task(command, nowMillis + unit.toMillis(delay), number++);
        tasks.add(task);
        return task;
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable command, long initialDelay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable command, long initialDelay, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }
}
