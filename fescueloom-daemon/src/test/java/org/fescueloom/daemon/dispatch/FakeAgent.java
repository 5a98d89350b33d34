package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.fescueloom.work.RunEnd;

/**
 * Simulates one agent whose upstream starts all runs that it is ordered to start. Runs end only by
 * {@link #end}, so stop orders have no effect.
 */
final class FakeAgent {
    String instance = "i-1";
    long bornMillis = 1;
    long sequence;
    long accelerators = 8;
    List<RunStatus> running = new ArrayList<>();
    List<EndedRun> ended = new ArrayList<>();
    List<StopOrder> barred = new ArrayList<>();
    boolean polled = true;
    boolean allEndsListed = true;
    String process = "p";
    UpstreamState state = UpstreamState.READY;

    /** The highest epoch that the agent has received. */
    long epoch;

    private final String name;
    private final ManualScheduler loop;

    FakeAgent(String name, ManualScheduler loop) {
        this.name = name;
        this.loop = loop;
    }

    CompletableFuture<AgentOrders> report(Dispatcher dispatcher) {
        UpstreamNotice notice =
                new UpstreamNotice(
                        instance,
                        bornMillis,
                        "service",
                        "zone",
                        state,
                        new Resources(32_000, 100_000, accelerators),
                        List.of("a", "r1"),
                        "r1",
                        0,
                        sequence);
        AgentReport report =
                new AgentReport(
                        name,
                        process,
                        ++sequence,
                        epoch,
                        notice,
                        polled,
                        0,
                        running,
                        ended,
                        allEndsListed,
                        barred);
        return dispatcher.handleReport(report);
    }

    /** Reports, waits for the orders and starts the runs that the orders name. */
    AgentOrders exchange(Dispatcher dispatcher) {
        CompletableFuture<AgentOrders> reply = report(dispatcher);
        loop.advance(1_200);
        AgentOrders orders = reply.join();
        epoch = Math.max(epoch, orders.epoch());
        for (StartOrder start : orders.starts()) {
            running.add(new RunStatus(start.task(), start.run(), "", 100, 0));
        }
        return orders;
    }

    /** Reports until all orders that stand have been received. */
    void exchangeAll(Dispatcher dispatcher) {
        while (!exchange(dispatcher).complete()) {}
    }

    /** Starts the upstream again under its identifier; it has no runs and no ends. */
    void restartUpstream() {
        bornMillis++;
        running = new ArrayList<>();
        ended = new ArrayList<>();
        barred = new ArrayList<>();
    }

    /** Ends the oldest run. */
    void end(RunEnd runEnd) {
        RunStatus status = running.remove(0);
        ended.add(new EndedRun(ended.size() + 1, status.task(), status.run(), runEnd, ""));
    }
}
