package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
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

    /**
     * How many starts of a job follow each other in a response, which then carries its payload for
     * all of them.
     */
    private static final int RUNS_PER_TURN = 32;

    private final DispatchState state;
    private final Supplier<List<String>> entries;

    /**
     * Ranks a run among those for which orders stand.
     *
     * @param run the run
     * @param urgency 0 for a stop, otherwise higher for less urgent jobs
     * @param turn the number of the turn of the job in which the order is sent
     */
    private record RankedRun(AssignedRun run, long urgency, int turn) {}

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

    /**
     * Returns the current orders for an agent, as many as one response may carry, and records that
     * they are sent.
     */
    AgentOrders currentOrders(AgentView agent) {
        long now = state.monotonicMillis();
        agent.markAnswered();
        boolean claimConfirmed = state.contact().freshWithin(state.timings().maxProofAgeMillis());
        OrderBatch batch = new OrderBatch();
        Map<Boolean, List<AssignedRun>> runsBySentLately = runsToOrder(agent, claimConfirmed, now);
        addOrders(runsBySentLately.get(false), batch, now);
        addStopsOfUnknownRuns(agent, batch);
        addOrders(runsBySentLately.get(true), batch, now);
        boolean leaseGranted = claimConfirmed && agent.upstreamReachable();
        if (leaseGranted) {
            agent.markLeaseGranted(now);
        }
        return new AgentOrders(
                state.epoch(),
                leaseGranted ? state.timings().leaseMillis() : 0,
                agent.boot(),
                agent.acknowledgedEndNumber(),
                batch.starts(),
                batch.stops(),
                batch.complete(),
                entries.get());
    }

    /** Adds the orders for runs to a batch while they fit, and records that they are sent. */
    private void addOrders(List<AssignedRun> runs, OrderBatch batch, long now) {
        for (AssignedRun run : runs) {
            boolean fits =
                    run.stopRequested() ? batch.add(stopOrder(run)) : batch.add(startOrder(run));
            if (!fits) {
                return;
            }
            run.markOrderSent(now);
        }
    }

    /**
     * Returns the runs for which orders stand, by whether their order was sent lately, in the order
     * in which they are sent: first stops, then starts by priority. The jobs of a priority take
     * turns, so that a large job does not hold up the others.
     */
    private Map<Boolean, List<AssignedRun>> runsToOrder(
            AgentView agent, boolean claimConfirmed, long now) {
        boolean mayStart = claimConfirmed && agent.startAllowed(state.fleet().zonesOut());
        Map<String, Integer> runsByJob = new HashMap<>();
        List<RankedRun> ranked = new ArrayList<>();
        for (AssignedRun run : agent.runs().values()) {
            boolean stop = run.stopRequested();
            // An order is sent only after the assignment of the run is stored, and only to the
            // incarnation of the upstream to which the run was assigned.
            if (run.stored()
                    && run.boot().equals(agent.boot())
                    && (stop || mayStart && needsStart(agent, run))) {
                int position = runsByJob.merge(run.task().job(), 1, Integer::sum) - 1;
                ranked.add(
                        new RankedRun(
                                run,
                                stop ? 0 : 1L + state.priority(run.task().job()),
                                position / RUNS_PER_TURN));
            }
        }
        ranked.sort(Comparator.comparingLong(RankedRun::urgency).thenComparingInt(RankedRun::turn));
        return ranked.stream()
                .map(RankedRun::run)
                .collect(
                        Collectors.partitioningBy(
                                run -> run.orderSentWithin(ORDER_REPEAT_MILLIS, now)));
    }

    /** Returns orders that order, acknowledge and grant nothing. */
    AgentOrders noOrders() {
        return new AgentOrders(state.epoch(), 0, "", 0, List.of(), List.of(), true, entries.get());
    }

    /** Adds stop orders for reported runs that the dispatcher has no record of. */
    private static void addStopsOfUnknownRuns(AgentView agent, OrderBatch batch) {
        if (agent.report() == null || agent.notice() == null) {
            return;
        }
        for (RunStatus status : agent.report().running()) {
            AssignedRun known = agent.runs().get(status.task());
            if (known == null || known.number() != status.run()) {
                batch.add(new StopOrder(status.task(), status.run(), agent.boot()));
            }
        }
    }

    private static StopOrder stopOrder(AssignedRun run) {
        return new StopOrder(run.task().toString(), run.number(), run.boot());
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
