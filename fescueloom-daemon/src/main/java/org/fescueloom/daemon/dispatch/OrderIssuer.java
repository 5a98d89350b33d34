package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.fescueloom.work.WorkJob;

/** Answers the reports of agents: at once if there is something to do, otherwise after a while. */
final class OrderIssuer {
    /** How long a report waits for orders. */
    private static final long REPORT_WAIT_MILLIS = 1_000;

    /** How long an order that was sent is given before it is sent again. */
    private static final long ORDER_REPEAT_MILLIS = 400;

    private final DispatchState state;
    private final Supplier<List<String>> entries;

    OrderIssuer(DispatchState state, Supplier<List<String>> entries) {
        this.state = state;
        this.entries = entries;
    }

    /** Keeps a report until there are orders; the one that was kept before is answered now. */
    void park(AgentView agent, CompletableFuture<AgentOrders> reply) {
        answerParked(agent);
        agent.park(reply, state.monotonicMillis());
        answerIfNeeded(agent);
    }

    /** Answers the report that is kept, if there is one. */
    void answerParked(AgentView agent) {
        CompletableFuture<AgentOrders> parked = agent.unpark();
        if (parked != null) {
            parked.complete(currentOrders(agent));
        }
    }

    /** Tells all agents that this process does not dispatch any more. */
    void close() {
        for (AgentView agent : state.agents().values()) {
            CompletableFuture<AgentOrders> parked = agent.unpark();
            if (parked != null) {
                parked.completeExceptionally(Dispatcher.notDispatcherException());
            }
        }
    }

    /** Answers the report that is kept if there is something to do or it has waited long enough. */
    void answerIfNeeded(AgentView agent) {
        long now = state.monotonicMillis();
        if (!agent.parked()) {
            return;
        }
        boolean due = now - agent.parkedSinceMillis() >= REPORT_WAIT_MILLIS;
        if (due || hasStoredEnds(agent) || hasOrders(agent, now)) {
            answerParked(agent);
        }
    }

    private static boolean hasStoredEnds(AgentView agent) {
        return agent.report() != null
                && agent.report().ended().stream()
                        .anyMatch(row -> row.number() <= agent.acknowledgedEnd());
    }

    private static boolean hasOrders(AgentView agent, long now) {
        for (AssignedRun run : agent.runs().values()) {
            boolean wanted = run.stopRequested() || !run.listed();
            if (wanted && run.stored() && !run.orderSentWithin(ORDER_REPEAT_MILLIS, now)) {
                return true;
            }
        }
        return false;
    }

    /** Returns what an agent is told now. */
    AgentOrders currentOrders(AgentView agent) {
        long now = state.monotonicMillis();
        boolean proven = state.contact().freshWithin(state.timings().maxProofAgeMillis());
        List<StartOrder> starts = new ArrayList<>();
        List<StopOrder> stops = new ArrayList<>();
        for (AssignedRun run : agent.runs().values()) {
            if (!run.stored() || !run.boot().equals(agent.boot())) {
                continue;
            }
            if (run.stopRequested()) {
                stops.add(new StopOrder(run.task().toString(), run.number(), run.boot()));
                run.markOrderSent(now);
            } else if (!run.listed() && proven && agent.startAllowed(state.fleet().zonesOut())) {
                starts.add(startOrder(run));
                run.markOrderSent(now);
            }
        }
        addUnknownRuns(agent, stops);
        boolean granted = proven && agent.upstreamReachable();
        if (granted) {
            agent.markLeaseGranted(now);
        }
        return new AgentOrders(
                state.epoch(),
                granted ? state.timings().leaseMillis() : 0,
                agent.boot(),
                agent.acknowledgedEnd(),
                starts,
                stops,
                entries.get());
    }

    /** Stops what runs on the upstream without a record. */
    private static void addUnknownRuns(AgentView agent, List<StopOrder> stops) {
        if (agent.report() == null || agent.notice() == null) {
            return;
        }
        for (RunStatus row : agent.report().running()) {
            AssignedRun known = agent.runs().get(row.task());
            if (known == null || known.number() != row.run()) {
                stops.add(new StopOrder(row.task(), row.run(), agent.boot()));
            }
        }
    }

    private StartOrder startOrder(AssignedRun run) {
        WorkJob job = state.jobs().get(run.task().job());
        return new StartOrder(
                run.task().toString(),
                run.number(),
                run.boot(),
                job.submission().work().payload(),
                job.task(run.task()).checkpoint());
    }
}
