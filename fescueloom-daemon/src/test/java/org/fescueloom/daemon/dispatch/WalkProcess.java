package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.work.RunEnd;

/** Simulates one incarnation of an upstream, as PROTOCOL.md describes it ("Running tasks"). */
final class WalkProcess {
    /** How long a run works until it is done. */
    static final long RUN_MILLIS = 1_500;

    /** How long a stop takes. */
    private static final long STOP_MILLIS = 300;

    private final WalkJudge judge;
    private final String instance;
    private final long bornMillis;
    private final long startedMillis;

    /** The number of the incarnation on its machine. */
    private final int number;

    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final List<EndedRun> ended = new ArrayList<>();
    private final Map<Long, Long> endMillis = new HashMap<>();
    private final List<CompletableFuture<UpstreamSnapshot>> waitingPolls = new ArrayList<>();
    private long lastEndNumber;
    private long token;
    private long leaseEndMillis;
    private long lastLapseMillis = Long.MIN_VALUE / 2;
    private long nowMillis;
    private boolean polledWithOwnToken;
    private boolean up = true;

    /** The number of the next status report. */
    private long sequence;

    private boolean leaving;

    /** A run that is at work. */
    private static final class Run {
        private final String task;
        private final int number;
        private long endsMillis;
        private RunEnd end = RunEnd.DONE;

        private Run(String task, int number, long endsMillis) {
            this.task = task;
            this.number = number;
            this.endsMillis = endsMillis;
        }
    }

    WalkProcess(WalkJudge judge, String instance, long bornMillis, int number, long nowMillis) {
        this.judge = judge;
        this.instance = instance;
        this.bornMillis = bornMillis;
        this.number = number;
        this.nowMillis = nowMillis;
        startedMillis = nowMillis;
    }

    String instance() {
        return instance;
    }

    long bornMillis() {
        return bornMillis;
    }

    String boot() {
        return instance + '@' + bornMillis;
    }

    int number() {
        return number;
    }

    long startedMillis() {
        return startedMillis;
    }

    boolean up() {
        return up;
    }

    long nextSequence() {
        return ++sequence;
    }

    boolean leaving() {
        return leaving;
    }

    void markLeaving() {
        leaving = true;
    }

    boolean polledWithOwnToken() {
        return polledWithOwnToken;
    }

    void markPolledWithOwnToken() {
        polledWithOwnToken = true;
    }

    /** Tests whether a run of a task is at work. */
    boolean works(String task) {
        return up && runs.containsKey(task);
    }

    /** Ends the process with all that runs on it. */
    void end() {
        up = false;
        runs.clear();
        waitingPolls.forEach(
                poll -> poll.completeExceptionally(new IllegalStateException("reset")));
        waitingPolls.clear();
    }

    /** Ends the oldest run as done at the next advance. */
    void finishOldestRun() {
        runs.values().stream().findFirst().ifPresent(run -> run.endsMillis = nowMillis);
    }

    /** Advances the clock, and ends the runs whose time or lease has come. */
    void advance(long newNowMillis) {
        nowMillis = newNowMillis;
        boolean lapsed = leaseEndMillis <= clock();
        if (lapsed) {
            lastLapseMillis = nowMillis;
        }
        boolean endsBefore = !ended.isEmpty();
        for (Run run : List.copyOf(runs.values())) {
            if (lapsed) {
                endRun(run, RunEnd.LAPSED);
            } else if (run.endsMillis <= nowMillis) {
                endRun(run, run.end);
            }
        }
        if (!endsBefore && !ended.isEmpty()) {
            answerWaitingPolls();
        }
    }

    private long clock() {
        return nowMillis - startedMillis + 1;
    }

    private void endRun(Run run, RunEnd end) {
        runs.remove(run.task);
        barred.merge(run.task, run.number, Math::max);
        ended.add(new EndedRun(++lastEndNumber, run.task, run.number, end, ""));
        endMillis.put(lastEndNumber, nowMillis);
        judge.trace(boot() + " ends " + run.task + '#' + run.number + ' ' + end);
    }

    OrderResult start(StartOrder order, long newToken, long leaseUntilMillis) {
        if (newToken < token) {
            return OrderResult.FENCED;
        }
        token = newToken;
        leaseEndMillis = Math.max(leaseEndMillis, leaseUntilMillis);
        Run existing = runs.get(order.task());
        if (existing != null && existing.number == order.run()) {
            return OrderResult.DONE;
        }
        if (order.run() <= barred.getOrDefault(order.task(), 0)) {
            return OrderResult.SUPERSEDED;
        }
        if (leaseUntilMillis <= clock()) {
            return OrderResult.LATE;
        }
        judge.onStart(this, order, nowMillis);
        runs.put(order.task(), new Run(order.task(), order.run(), nowMillis + RUN_MILLIS));
        return OrderResult.DONE;
    }

    OrderResult stop(StopOrder order, long newToken) {
        if (newToken < token) {
            return OrderResult.FENCED;
        }
        token = newToken;
        barred.merge(order.task(), order.run(), Math::max);
        Run run = runs.get(order.task());
        if (run != null && run.number == order.run() && run.end == RunEnd.DONE) {
            run.end = RunEnd.STOPPED;
            run.endsMillis = nowMillis + STOP_MILLIS;
        }
        return OrderResult.DONE;
    }

    /** Returns a future that completes at once if there are ends, or else at the next end. */
    CompletableFuture<UpstreamSnapshot> poll(
            long newToken, long acknowledged, long leaseUntilMillis) {
        if (newToken < token) {
            return CompletableFuture.failedFuture(new TokenRefusedException(instance));
        }
        token = newToken;
        leaseEndMillis = Math.max(leaseEndMillis, leaseUntilMillis);
        for (EndedRun end : List.copyOf(ended)) {
            if (end.number() <= acknowledged) {
                ended.remove(end);
                long millis = endMillis.get(end.number());
                if (end.end() == RunEnd.DONE && lastLapseMillis < millis) {
                    judge.onDoneNoted(end.task(), millis);
                }
            }
        }
        CompletableFuture<UpstreamSnapshot> answer = new CompletableFuture<>();
        waitingPolls.add(answer);
        if (!ended.isEmpty()) {
            answerWaitingPolls();
        }
        return answer;
    }

    /** Answers a poll that has waited for long enough. */
    void answer(CompletableFuture<UpstreamSnapshot> poll) {
        if (waitingPolls.remove(poll)) {
            poll.complete(snapshot());
        }
    }

    private void answerWaitingPolls() {
        List.copyOf(waitingPolls).forEach(this::answer);
    }

    private UpstreamSnapshot snapshot() {
        List<RunStatus> statuses = new ArrayList<>();
        runs.values().forEach(r -> statuses.add(new RunStatus(r.task, r.number, "", 100, 0)));
        return new UpstreamSnapshot(clock(), bornMillis, statuses, ended, true);
    }
}
