package org.fescueloom.gang;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;

/**
 * Follows one gang attempt from its first lease to its end, by the chart {@code gang}.
 *
 * <p>Events of members may come late, repeated and in any order; those that say nothing new, or
 * that the state ignores, change nothing. The caller carries out the action of each step for every
 * member, with calls that may be repeated safely. Instances are immutable.
 *
 * @param state the state, not null
 * @param members the latest news of each member; null for none yet
 * @param deadlineMillis the time at which the state is given up, in milliseconds
 */
public record GangLifecycle(GangState state, List<MemberEvent> members, long deadlineMillis) {
    private static final StateChart<GangState, GangEvent, GangAction> CHART =
            StateChart.load("gang", GangState.class, GangEvent.class, GangAction.class);

    /** Checks the state and copies the members. */
    public GangLifecycle {
        Objects.requireNonNull(state, "state");
        members = Collections.unmodifiableList(new ArrayList<>(members));
    }

    /**
     * Begins an attempt; the caller asks for a lease on every member.
     *
     * @param members how many members the gang has, at least 1
     * @param nowMillis the time, in milliseconds
     * @param terms the bounds, not null
     * @return the gang, never null
     */
    public static GangLifecycle begin(int members, long nowMillis, LeaseTimings terms) {
        if (members < 1) {
            throw new IllegalArgumentException("members must be positive: " + members);
        }
        List<MemberEvent> silent = Collections.nCopies(members, null);
        return new GangLifecycle(CHART.initial(), silent, nowMillis + terms.startBoundMillis());
    }

    /**
     * Takes in news of one member. News that comes after the bound for the leases does not let the
     * tasks start.
     *
     * @param member the number of the member, from 0
     * @param event what it reports, not null
     * @param nowMillis the time, in milliseconds
     * @param terms the bounds, not null
     * @return the gang after it and what is to be done, never null
     */
    public GangTransition onMemberEvent(
            int member, MemberEvent event, long nowMillis, LeaseTimings terms) {
        List<MemberEvent> changed = new ArrayList<>(members);
        changed.set(member, Objects.requireNonNull(event, "event"));
        GangLifecycle told = new GangLifecycle(state, changed, deadlineMillis);
        if (state == GangState.LEASING && nowMillis >= deadlineMillis) {
            return told.fire(GangEvent.TIMED_OUT, nowMillis, terms);
        }
        Optional<GangEvent> news = told.gangEvent(event);
        return news.map(e -> told.fire(e, nowMillis, terms))
                .orElseGet(() -> new GangTransition(told, Optional.empty()));
    }

    /**
     * Asks the gang to stop, with a checkpoint if it runs.
     *
     * @param nowMillis the time, in milliseconds
     * @param terms the bounds, not null
     * @return the gang after it and what is to be done, never null
     */
    public GangTransition stop(long nowMillis, LeaseTimings terms) {
        return fire(GangEvent.STOP_REQUESTED, nowMillis, terms);
    }

    /**
     * Gives up the state if its bound has passed.
     *
     * @param nowMillis the time, in milliseconds
     * @param terms the bounds, not null
     * @return the gang after it and what is to be done, never null
     */
    public GangTransition checkDeadline(long nowMillis, LeaseTimings terms) {
        if (nowMillis < deadlineMillis) {
            return new GangTransition(this, Optional.empty());
        }
        return fire(GangEvent.TIMED_OUT, nowMillis, terms);
    }

    /**
     * Tells whether the attempt is over.
     *
     * @return whether no event can change it any more
     */
    public boolean isOver() {
        return CHART.isTerminal(state);
    }

    private GangTransition fire(GangEvent event, long nowMillis, LeaseTimings terms) {
        Transition<GangState, GangAction> next = CHART.next(state, event);
        if (next.ignored()) {
            return new GangTransition(this, Optional.empty());
        }
        long deadline =
                next.target() == GangState.STARTING
                        ? deadlineMillis
                        : nowMillis + terms.startBoundMillis();
        GangLifecycle run = new GangLifecycle(next.target(), members, deadline);
        return new GangTransition(run, next.action());
    }

    private Optional<GangEvent> gangEvent(MemberEvent event) {
        return switch (event) {
            case LEASED -> whenAll(GangEvent.ALL_LEASED, MemberEvent.LEASED);
            case RUNNING ->
                    whenAll(GangEvent.ALL_RUNNING, MemberEvent.RUNNING, MemberEvent.SUCCEEDED);
            case SUCCEEDED -> succeeded();
            case CHECKPOINTED ->
                    whenAll(
                            GangEvent.ALL_CHECKPOINTED,
                            MemberEvent.CHECKPOINTED,
                            MemberEvent.SUCCEEDED);
            case RETURNED -> whenAll(GangEvent.ALL_RETURNED, MemberEvent.RETURNED);
            case REFUSED -> Optional.of(GangEvent.LEASE_REFUSED);
            case LAPSED -> Optional.of(GangEvent.LEASE_LAPSED);
            case FAILED -> Optional.of(GangEvent.TASK_FAILED);
            case LOST -> Optional.of(GangEvent.MEMBER_LOST);
        };
    }

    private Optional<GangEvent> succeeded() {
        Optional<GangEvent> all = whenAll(GangEvent.ALL_SUCCEEDED, MemberEvent.SUCCEEDED);
        if (state == GangState.STARTING) {
            return whenAll(GangEvent.ALL_RUNNING, MemberEvent.RUNNING, MemberEvent.SUCCEEDED);
        }
        return all;
    }

    private Optional<GangEvent> whenAll(GangEvent event, MemberEvent... accepted) {
        List<MemberEvent> wanted = List.of(accepted);
        boolean all = members.stream().allMatch(m -> m != null && wanted.contains(m));
        return all ? Optional.of(event) : Optional.empty();
    }
}
