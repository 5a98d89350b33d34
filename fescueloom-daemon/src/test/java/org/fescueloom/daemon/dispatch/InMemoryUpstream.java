package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.work.RunEnd;

/** Plays an upstream in memory; its clock moves when it is told to. */
public final class InMemoryUpstream implements UpstreamControl {
    private final String instance;
    private final long runMillis;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final List<EndedRun> ended = new ArrayList<>();
    private long ends;
    private long token;
    private long leaseUntil;
    private long clock = 1;

    private record Running(int run, long endMillis) {}

    /**
     * Creates an upstream that holds nothing.
     *
     * @param instance its name, not null
     * @param runMillis how long each run takes, in milliseconds
     */
    public InMemoryUpstream(String instance, long runMillis) {
        this.instance = instance;
        this.runMillis = runMillis;
    }

    /**
     * Lets time pass.
     *
     * @param millis how long, in milliseconds
     */
    public void advanceClock(long millis) {
        clock += millis;
        for (Map.Entry<String, Running> entry : List.copyOf(running.entrySet())) {
            if (entry.getValue().endMillis() <= clock) {
                end(entry.getKey(), RunEnd.DONE);
            } else if (leaseUntil <= clock) {
                end(entry.getKey(), RunEnd.LAPSED);
            }
        }
    }

    @Override
    public CompletableFuture<OrderResult> start(
            String meant, StartOrder order, long given, long leaseUntilMillis) {
        return CompletableFuture.completedFuture(startNow(meant, order, given, leaseUntilMillis));
    }

    private OrderResult startNow(
            String meant, StartOrder order, long given, long leaseUntilMillis) {
        if (!meant.equals(instance)) {
            return OrderResult.OTHER_BOOT;
        }
        if (given < token) {
            return OrderResult.FENCED;
        }
        token = given;
        leaseUntil = Math.max(leaseUntil, leaseUntilMillis);
        Running present = running.get(order.task());
        if (present != null && present.run() == order.run()) {
            return OrderResult.DONE;
        }
        if (order.run() <= barred.getOrDefault(order.task(), 0)) {
            return OrderResult.SUPERSEDED;
        }
        if (leaseUntilMillis <= clock) {
            return OrderResult.LATE;
        }
        running.put(order.task(), new Running(order.run(), clock + runMillis));
        return OrderResult.DONE;
    }

    @Override
    public CompletableFuture<OrderResult> stop(String meant, StopOrder order, long given) {
        if (!meant.equals(instance)) {
            return CompletableFuture.completedFuture(OrderResult.OTHER_BOOT);
        }
        if (given < token) {
            return CompletableFuture.completedFuture(OrderResult.FENCED);
        }
        token = given;
        barred.merge(order.task(), order.run(), Math::max);
        Running present = running.get(order.task());
        if (present != null && present.run() == order.run()) {
            end(order.task(), RunEnd.STOPPED);
        }
        return CompletableFuture.completedFuture(OrderResult.DONE);
    }

    @Override
    public CompletableFuture<UpstreamSnapshot> poll(
            String meant, long given, long acknowledged, long leaseUntilMillis, Duration wait) {
        if (!meant.equals(instance)) {
            return CompletableFuture.failedFuture(new BootMismatchException(meant));
        }
        token = Math.max(token, given);
        leaseUntil = Math.max(leaseUntil, leaseUntilMillis);
        ended.removeIf(row -> row.number() <= acknowledged);
        List<RunStatus> rows = new ArrayList<>();
        running.forEach((task, run) -> rows.add(new RunStatus(task, run.run(), "", 100, 0)));
        return CompletableFuture.completedFuture(new UpstreamSnapshot(clock, 1, rows, ended));
    }

    private void end(String task, RunEnd how) {
        Running run = running.remove(task);
        barred.merge(task, run.run(), Math::max);
        ended.add(new EndedRun(++ends, task, run.run(), how, ""));
    }
}
