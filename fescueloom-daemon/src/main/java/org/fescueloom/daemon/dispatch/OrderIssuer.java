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
        release(agent);
        agent.park(reply, state.steadyMillis());
        answerIfNeeded(agent);
    }

    /** Answers the report that is kept, if there is one. */
    void release(AgentView agent) {
        CompletableFuture<AgentOrders> parked = agent.unpark();
        if (parked != null) {
            parked.complete(orders(agent));
        }
    }

    /** Tells all agents that this process does not dispatch any more. */
    void close() {
        for (AgentView agent : state.agents().values()) {
            CompletableFuture<AgentOrders> parked = agent.unpark();
            if (parked != null) {
                parked.completeExceptionally(Dispatcher.notDispatcher());
            }
        }
    }

    /** Answers the report that is kept if there is something to do or it has waited long enough. */
    void answerIfNeeded(AgentView agent) {
        long now = state.steadyMillis();
        if (!agent.parked()) {
            return;
        }
        boolean due = now - agent.waitingSinceMillis() >= REPORT_WAIT_MILLIS;
        if (due || hasStoredEnds(agent) || hasOrders(agent, now)) {
            release(agent);
        }
    }

    private static boolean hasStoredEnds(AgentView agent) {
        return agent.report() != null
                && agent.report().ended().stream()
                        .anyMatch(row -> row.number() <= agent.acknowledged());
    }

    private static boolean hasOrders(AgentView agent, long now) {
        for (AssignedRun run : agent.runs().values()) {
            boolean wanted = run.stopRequested() || !run.seen();
            if (wanted && run.stored() && !run.orderedWithin(ORDER_REPEAT_MILLIS, now)) {
                return true;
            }
        }
        return false;
    }

    /** Returns what an agent is told now. */
    AgentOrders orders(AgentView agent) {
        long now = state.steadyMillis();
        boolean proven = state.contact().freshWithin(state.terms().storeProofMillis());
        List<StartOrder> starts = new ArrayList<>();
        List<StopOrder> stops = new ArrayList<>();
        for (AssignedRun run : agent.runs().values()) {
            if (!run.stored() || !run.boot().equals(agent.boot())) {
                continue;
            }
            if (run.stopRequested()) {
                stops.add(new StopOrder(run.task().toString(), run.number(), run.boot()));
                run.markOrdered(now);
            } else if (!run.seen() && proven && agent.startAllowed(state.fleet().zonesOut())) {
                starts.add(startOrder(run));
                run.markOrdered(now);
            }
        }
        addUnknownRuns(agent, stops);
        boolean granted = proven && agent.looking();
        if (granted) {
            agent.granted(now);
        }
        return new AgentOrders(
                state.epoch(),
                granted ? state.terms().leaseMillis() : 0,
                agent.boot(),
                agent.acknowledged(),
                starts,
                stops,
                entries.get());
    }

    /** Stops what runs on the upstream without a record. */
    private static void addUnknownRuns(AgentView agent, List<StopOrder> stops) {
        if (agent.report() == null || agent.notice() == null) {
            return;
        }
        for (RunRow row : agent.report().running()) {
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
