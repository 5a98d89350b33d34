package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.fescueloom.work.WorkJob;

/**
 * Responds to the reports of agents with orders: at once if there are any, otherwise after a
 * maximum waiting time.
 */
final class OrderIssuer {
    /** The longest time for which a report waits for orders. */
    private static final long MAX_REPORT_WAIT_MILLIS = 1_000;

    /** An order whose effect the upstream has not listed is sent again after this time. */
    private static final long ORDER_REPEAT_MILLIS = 400;

    private final DispatchState state;
    private final Supplier<List<String>> entries;

    OrderIssuer(DispatchState state, Supplier<List<String>> entries) {
        this.state = state;
        this.entries = entries;
    }

    /**
     * Parks the reply to a report until there are orders. Completes the reply that was parked
     * before.
     */
    void park(AgentView agent, CompletableFuture<AgentOrders> reply) {
        completeParked(agent);
        agent.park(reply, state.monotonicMillis());
        completeParkedIfDue(agent);
    }

    /** Completes the parked reply of an agent, if there is one. */
    void completeParked(AgentView agent) {
        CompletableFuture<AgentOrders> parked = agent.unpark();
        if (parked != null) {
            parked.complete(currentOrders(agent));
        }
    }

    /** Fails all parked replies, because this process is no longer the dispatcher. */
    void close() {
        for (AgentView agent : state.agents().values()) {
            CompletableFuture<AgentOrders> parked = agent.unpark();
            if (parked != null) {
                parked.completeExceptionally(Dispatcher.notDispatcherException());
            }
        }
    }

    /**
     * Completes the parked reply of an agent if there are orders, if reported ends are stored and
     * can be acknowledged, if the agent needs the reply to go on after a takeover, or if the reply
     * was parked for the maximum waiting time.
     */
    void completeParkedIfDue(AgentView agent) {
        long now = state.monotonicMillis();
        if (!agent.parked()) {
            return;
        }
        boolean maxWaitReached = now - agent.parkedSinceMillis() >= MAX_REPORT_WAIT_MILLIS;
        if (maxWaitReached
                || replyDueAtOnce(agent)
                || hasAcknowledgedEnds(agent)
                || hasOrders(agent, now)) {
            completeParked(agent);
        }
    }

    private boolean replyDueAtOnce(AgentView agent) {
        // Without a confirmed claim, a reply grants no lease, and the agent would report again.
        return agent.needsReplyAtOnce(state.epoch())
                && state.contact().freshWithin(state.timings().maxProofAgeMillis());
    }

    private static boolean hasAcknowledgedEnds(AgentView agent) {
        return agent.report() != null
                && agent.report().ended().stream()
                        .anyMatch(endedRun -> endedRun.number() <= agent.acknowledgedEndNumber());
    }

    private static boolean hasOrders(AgentView agent, long now) {
        for (AssignedRun run : agent.runs().values()) {
            boolean needsOrder = run.stopRequested() || needsStart(agent, run);
            if (needsOrder && run.stored() && !run.orderSentWithin(ORDER_REPEAT_MILLIS, now)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tests whether a run has to be started as far as its upstream has listed its runs. A run of an
     * earlier dispatcher may have ended while not all ends are listed.
     */
    private static boolean needsStart(AgentView agent, AssignedRun run) {
        boolean mayHaveEnded = run.restored() && !agent.report().allEndsListed();
        return !run.listed() && !mayHaveEnded;
    }

    /** Returns the current orders for an agent, and records that they are sent. */
    AgentOrders currentOrders(AgentView agent) {
        long now = state.monotonicMillis();
        agent.markAnswered();
        boolean claimConfirmed = state.contact().freshWithin(state.timings().maxProofAgeMillis());
        List<StartOrder> starts = new ArrayList<>();
        List<StopOrder> stops = new ArrayList<>();
        for (AssignedRun run : agent.runs().values()) {
            // An order is sent only after the assignment of the run is stored, and only to the
            // incarnation of the upstream to which the run was assigned.
            if (!run.stored() || !run.boot().equals(agent.boot())) {
                continue;
            }
            if (run.stopRequested()) {
                stops.add(new StopOrder(run.task().toString(), run.number(), run.boot()));
                run.markOrderSent(now);
            } else if (needsStart(agent, run)
                    && claimConfirmed
                    && agent.startAllowed(state.fleet().zonesOut())) {
                starts.add(startOrder(run));
                run.markOrderSent(now);
            }
        }
        addStopsOfUnknownRuns(agent, stops);
        boolean leaseGranted = claimConfirmed && agent.upstreamReachable();
        if (leaseGranted) {
            agent.markLeaseGranted(now);
        }
        return new AgentOrders(
                state.epoch(),
                leaseGranted ? state.timings().leaseMillis() : 0,
                agent.boot(),
                agent.acknowledgedEndNumber(),
                starts,
                stops,
                entries.get());
    }

    /** Returns orders that order, acknowledge and grant nothing. */
    AgentOrders noOrders() {
        return new AgentOrders(state.epoch(), 0, "", 0, List.of(), List.of(), entries.get());
    }

    /** Adds stop orders for reported runs that the dispatcher has no record of. */
    private static void addStopsOfUnknownRuns(AgentView agent, List<StopOrder> stops) {
        if (agent.report() == null || agent.notice() == null) {
            return;
        }
        for (RunStatus status : agent.report().running()) {
            AssignedRun known = agent.runs().get(status.task());
            if (known == null || known.number() != status.run()) {
                stops.add(new StopOrder(status.task(), status.run(), agent.boot()));
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
