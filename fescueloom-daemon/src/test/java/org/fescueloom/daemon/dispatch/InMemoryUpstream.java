package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.work.RunEnd;

/** Simulates an upstream in memory, with a clock that the test advances. */
public final class InMemoryUpstream implements UpstreamControl {
    private final String instance;
    private final long runMillis;
    private final Map<String, Running> running = new LinkedHashMap<>();

    /** By task, the highest number of a run that was stopped or has ended. */
    private final Map<String, Integer> barred = new HashMap<>();

    private final List<EndedRun> endedRuns = new ArrayList<>();
    private long lastEndNumber;
    private long token;
    private long leaseEndMillis;
    private long clockMillis = 1;
    private long bornMillis = 1;
    private boolean delaysStarts;
    private boolean ended;
    private int startCount;
    private int pageLength = Integer.MAX_VALUE;
    private final List<Runnable> delayedStarts = new ArrayList<>();

    private record Running(int run, long endMillis) {}

    /**
     * Creates an upstream without runs.
     *
     * @param instance the identifier of the upstream, not null
     * @param runMillis how long each run takes, in milliseconds
     */
    public InMemoryUpstream(String instance, long runMillis) {
        this.instance = instance;
        this.runMillis = runMillis;
    }

    /**
     * Advances the clock, and ends the runs that are done or whose lease has expired.
     *
     * @param millis the time to add, in milliseconds
     */
    public synchronized void advanceClock(long millis) {
        clockMillis += millis;
        for (Map.Entry<String, Running> entry : List.copyOf(running.entrySet())) {
            if (entry.getValue().endMillis() <= clockMillis) {
                end(entry.getKey(), RunEnd.DONE);
            } else if (leaseEndMillis <= clockMillis) {
                end(entry.getKey(), RunEnd.LAPSED);
            }
        }
    }

    /**
     * Starts again under the same identifier: forgets all runs, ends, tokens and leases.
     *
     * @param newBornMillis the time of the start, in milliseconds since 1970
     */
    public synchronized void restart(long newBornMillis) {
        running.clear();
        barred.clear();
        endedRuns.clear();
        lastEndNumber = 0;
        token = 0;
        leaseEndMillis = 0;
        clockMillis = 1;
        bornMillis = newBornMillis;
        ended = false;
    }

    /**
     * Limits the ends that the answer to a poll lists; further ends follow once these are
     * acknowledged.
     *
     * @param length the maximum number of ends in an answer
     */
    public synchronized void limitPages(int length) {
        pageLength = length;
    }

    /** Returns the number of runs that were started. */
    public synchronized int startCount() {
        return startCount;
    }

    /** Returns the number of ended runs that are not acknowledged. */
    public synchronized int unacknowledgedEndCount() {
        return endedRuns.size();
    }

    /** Ends the process: nothing listens any more. */
    public synchronized void endProcess() {
        running.clear();
        ended = true;
    }

    /**
     * Gives no response to start orders from now on, and executes them only by {@link
     * #runDelayedStarts}.
     */
    public synchronized void delayStarts() {
        delaysStarts = true;
    }

    /** Executes the delayed start orders, and delays no others. */
    public synchronized void runDelayedStarts() {
        delaysStarts = false;
        delayedStarts.forEach(Runnable::run);
        delayedStarts.clear();
    }

    /** Returns the number of delayed start orders. */
    public synchronized int delayedStartCount() {
        return delayedStarts.size();
    }

    /** Returns the tasks that are running. */
    public synchronized List<String> runningTasks() {
        return List.copyOf(running.keySet());
    }

    @Override
    public synchronized CompletableFuture<OrderResult> start(
            String target, StartOrder order, long newToken, long leaseUntilMillis) {
        if (delaysStarts) {
            delayedStarts.add(() -> startNow(target, order, newToken, leaseUntilMillis));
            return new CompletableFuture<>();
        }
        return CompletableFuture.completedFuture(
                startNow(target, order, newToken, leaseUntilMillis));
    }

    private OrderResult startNow(
            String target, StartOrder order, long newToken, long leaseUntilMillis) {
        if (!target.equals(instance)) {
            return OrderResult.OTHER_BOOT;
        }
        if (newToken < token) {
            return OrderResult.FENCED;
        }
        token = newToken;
        leaseEndMillis = Math.max(leaseEndMillis, leaseUntilMillis);
        Running existing = running.get(order.task());
        if (existing != null && existing.run() == order.run()) {
            return OrderResult.DONE;
        }
        if (order.run() <= barred.getOrDefault(order.task(), 0)) {
            return OrderResult.SUPERSEDED;
        }
        if (leaseUntilMillis <= clockMillis) {
            return OrderResult.LATE;
        }
        running.put(order.task(), new Running(order.run(), clockMillis + runMillis));
        startCount++;
        return OrderResult.DONE;
    }

    @Override
    public synchronized CompletableFuture<OrderResult> stop(
            String target, StopOrder order, long newToken) {
        if (!target.equals(instance)) {
            return CompletableFuture.completedFuture(OrderResult.OTHER_BOOT);
        }
        if (newToken < token) {
            return CompletableFuture.completedFuture(OrderResult.FENCED);
        }
        token = newToken;
        barred.merge(order.task(), order.run(), Math::max);
        Running existing = running.get(order.task());
        if (existing != null && existing.run() == order.run()) {
            end(order.task(), RunEnd.STOPPED);
        }
        return CompletableFuture.completedFuture(OrderResult.DONE);
    }

    @Override
    public synchronized CompletableFuture<UpstreamSnapshot> poll(
            String target, long newToken, long acknowledged, long leaseUntilMillis, Duration wait) {
        if (ended) {
            return CompletableFuture.failedFuture(
                    new UpstreamRefusedException(new ConnectException("Connection refused")));
        }
        if (!target.equals(instance)) {
            return CompletableFuture.failedFuture(new BootMismatchException(target));
        }
        if (newToken < token) {
            return CompletableFuture.failedFuture(new TokenRefusedException(target));
        }
        token = newToken;
        leaseEndMillis = Math.max(leaseEndMillis, leaseUntilMillis);
        endedRuns.removeIf(endedRun -> endedRun.number() <= acknowledged);
        List<RunStatus> statuses = new ArrayList<>();
        running.forEach((task, run) -> statuses.add(new RunStatus(task, run.run(), "", 100, 0)));
        return CompletableFuture.completedFuture(
                new UpstreamSnapshot(
                        clockMillis,
                        bornMillis,
                        statuses,
                        endedRuns.subList(0, Math.min(pageLength, endedRuns.size())),
                        endedRuns.size() < pageLength));
    }

    private void end(String task, RunEnd runEnd) {
        Running run = running.remove(task);
        barred.merge(task, run.run(), Math::max);
        endedRuns.add(new EndedRun(++lastEndNumber, task, run.run(), runEnd, ""));
    }
}
