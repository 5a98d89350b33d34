package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Simulates a machine on which incarnations of upstreams run one after the other at one address,
 * and the calls of its agent to them.
 *
 * <p>Leaves out only what docs/incidents/2026-12-05-order-reaches-the-next-incarnation.md names
 * under "What remains": start orders that stay on their way across two restarts, and second copies
 * that are executed between a restart and the first poll of the new incarnation.
 */
final class WalkMachine implements UpstreamControl {
    private static final long TRANSIT_MILLIS = 2;
    private static final long TIMEOUT_MILLIS = 1_000;

    enum Call {
        START,
        STOP,
        POLL
    }

    private final ManualScheduler loop;
    private final WalkJudge judge;
    private final Map<Call, Deque<WalkFault>> faults = new EnumMap<>(Call.class);

    /** By run, the number of the first incarnation that executed its start order. */
    private final Map<String, Integer> firstReceivers = new HashMap<>();

    private WalkAgent agent;
    private WalkProcess process;
    private int processCount;
    private long silentUntilMillis;

    WalkMachine(ManualScheduler loop, WalkJudge judge) {
        this.loop = loop;
        this.judge = judge;
        for (Call call : Call.values()) {
            faults.put(call, new ArrayDeque<>());
        }
    }

    void connect(WalkAgent newAgent) {
        agent = newAgent;
    }

    /** Returns the present or last process; null before the first. */
    WalkProcess process() {
        return process;
    }

    boolean up() {
        return process != null && process.up();
    }

    void startProcess(String instance, long bornMillis) {
        if (up()) {
            process.end();
        }
        process = new WalkProcess(judge, instance, bornMillis, ++processCount, loop.nowMillis());
        judge.trace(process.boot() + " begins");
    }

    void addFault(Call call, WalkFault fault) {
        faults.get(call).add(fault);
    }

    /** Leaves all calls that arrive until a time without a response. */
    void silence(long millis) {
        silentUntilMillis = loop.nowMillis() + millis;
    }

    /** Ends all faults to come; calls that are late already still arrive. */
    void calm() {
        faults.values().forEach(Deque::clear);
        silentUntilMillis = 0;
    }

    @Override
    public CompletableFuture<OrderResult> start(
            String instance, StartOrder order, long token, long leaseUntilMillis) {
        agent.checkStart(order);
        int sentTo = processCount;
        return call(
                Call.START,
                TIMEOUT_MILLIS,
                receiver -> {
                    if (!receiver.instance().equals(instance)) {
                        return CompletableFuture.completedFuture(OrderResult.OTHER_BOOT);
                    }
                    if (isLeftOut(receiver, order, sentTo)) {
                        return CompletableFuture.failedFuture(new TimeoutException("left out"));
                    }
                    OrderResult result = receiver.start(order, token, leaseUntilMillis);
                    if (result == OrderResult.DONE) {
                        firstReceivers.putIfAbsent(runId(order), receiver.number());
                    }
                    return CompletableFuture.completedFuture(result);
                });
    }

    /** Tests whether a start order is one of those that nobody can call back. */
    private boolean isLeftOut(WalkProcess receiver, StartOrder order, int sentTo) {
        if (receiver.number() - sentTo >= 2) {
            return true;
        }
        Integer first = firstReceivers.get(runId(order));
        return first != null && first < receiver.number() && !receiver.polledWithOwnToken();
    }

    private static String runId(StartOrder order) {
        return RunLists.runId(order.task(), order.run());
    }

    @Override
    public CompletableFuture<OrderResult> stop(String instance, StopOrder order, long token) {
        return call(
                Call.STOP,
                TIMEOUT_MILLIS,
                receiver ->
                        CompletableFuture.completedFuture(
                                receiver.instance().equals(instance)
                                        ? receiver.stop(order, token)
                                        : OrderResult.OTHER_BOOT));
    }

    @Override
    public CompletableFuture<UpstreamSnapshot> poll(
            String instance, long token, long acknowledged, long leaseUntilMillis, Duration wait) {
        String believed = agent.presentBoot();
        WalkAgent caller = agent;
        CompletableFuture<UpstreamSnapshot> answer =
                call(
                        Call.POLL,
                        TIMEOUT_MILLIS + wait.toMillis(),
                        receiver -> {
                            if (!receiver.instance().equals(instance)) {
                                return CompletableFuture.failedFuture(
                                        new BootMismatchException(instance));
                            }
                            CompletableFuture<UpstreamSnapshot> snapshot =
                                    receiver.poll(token, acknowledged, leaseUntilMillis);
                            if (receiver.boot().equals(believed)
                                    && !snapshot.isCompletedExceptionally()) {
                                receiver.markPolledWithOwnToken();
                            }
                            schedule(wait.toMillis(), () -> receiver.answer(snapshot));
                            return snapshot;
                        });
        return answer.thenApply(
                snapshot -> {
                    caller.markAnswered(instance + '@' + snapshot.bornMillis());
                    return snapshot;
                });
    }

    private <T> CompletableFuture<T> call(
            Call call, long timeoutMillis, Function<WalkProcess, CompletableFuture<T>> work) {
        WalkFault fault = faults.get(call).isEmpty() ? WalkFault.NONE : faults.get(call).remove();
        if (fault.kind() != WalkFault.Kind.NONE) {
            judge.trace(agent.name() + ' ' + call + ' ' + fault);
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        schedule(timeoutMillis, () -> answer.completeExceptionally(new TimeoutException("late")));
        CompletableFuture<T> ignored = new CompletableFuture<>();
        switch (fault.kind()) {
            case REQUEST_LOST -> {}
            case RESPONSE_LOST -> execute(work, TRANSIT_MILLIS, ignored, 0);
            case REQUEST_LATE ->
                    execute(work, TRANSIT_MILLIS + fault.millis(), answer, TRANSIT_MILLIS);
            case RESPONSE_LATE ->
                    execute(work, TRANSIT_MILLIS, answer, TRANSIT_MILLIS + fault.millis());
            case DUPLICATED -> {
                execute(work, TRANSIT_MILLIS, answer, TRANSIT_MILLIS);
                execute(work, TRANSIT_MILLIS + fault.millis(), ignored, 0);
            }
            default -> execute(work, TRANSIT_MILLIS, answer, TRANSIT_MILLIS);
        }
        return answer;
    }

    private <T> void execute(
            Function<WalkProcess, CompletableFuture<T>> work,
            long inMillis,
            CompletableFuture<T> answer,
            long returnMillis) {
        schedule(
                inMillis,
                () -> {
                    if (loop.nowMillis() < silentUntilMillis) {
                        return;
                    }
                    CompletableFuture<T> result;
                    if (up()) {
                        process.advance(loop.nowMillis());
                        result = work.apply(process);
                    } else {
                        result =
                                CompletableFuture.failedFuture(
                                        new UpstreamRefusedException(
                                                new ConnectException("Connection refused")));
                    }
                    result.whenComplete(
                            (value, error) ->
                                    schedule(returnMillis, () -> finish(answer, value, error)));
                });
    }

    private static <T> void finish(CompletableFuture<T> answer, T value, Throwable error) {
        if (error == null) {
            answer.complete(value);
        } else {
            answer.completeExceptionally(error);
        }
    }

    private void schedule(long millis, Runnable work) {
        loop.schedule(work, millis, TimeUnit.MILLISECONDS);
    }
}
