package org.fescueloom.gang;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;

/**
 * Tracks one gang attempt from its first lease to its end by the state chart {@code gang}.
 *
 * <p>All times are milliseconds of one clock, which the caller chooses. Events of members may
 * arrive late, repeatedly and in any order. An event that the state ignores does not change the
 * state. The code that fires an event carries out the action of each transition for every member,
 * with calls that can be repeated safely. Instances are immutable.
 *
 * @param state the state, not null
 * @param members the latest event of each member, null before the member's first event; the list is
 *     not null
 * @param deadlineMillis the time at which the current state times out, in milliseconds
 */
public record GangLifecycle(GangState state, List<MemberEvent> members, long deadlineMillis) {
    private static final StateChart<GangState, GangEvent, GangAction> CHART =
            StateChart.load("gang", GangState.class, GangEvent.class, GangAction.class);

    /** Checks the state and copies the events. */
    public GangLifecycle {
        Objects.requireNonNull(state, "state");
        // List.copyOf would reject the null of a member without an event.
        members = Collections.unmodifiableList(new ArrayList<>(members));
    }

    /**
     * Begins an attempt. The next action is to request a lease for every member.
     *
     * @param members the number of members of the gang, at least 1
     * @param nowMillis the current time, in milliseconds
     * @param timings the times that bound the attempt, not null
     * @return the lifecycle in its initial state, never null
     * @throws IllegalArgumentException if {@code members} is not positive
     */
    public static GangLifecycle begin(int members, long nowMillis, LeaseTimings timings) {
        if (members < 1) {
            throw new IllegalArgumentException("members must be positive: " + members);
        }
        List<MemberEvent> noEvents = Collections.nCopies(members, null);
        return new GangLifecycle(CHART.initial(), noEvents, nowMillis + timings.startBoundMillis());
    }

    /**
     * Applies an event of one member. If leases are still outstanding at the deadline, the attempt
     * times out and its tasks do not start, whatever the event.
     *
     * @param member the number of the member, from 0
     * @param event the event, not null
     * @param nowMillis the current time, in milliseconds
     * @param timings the times that bound the attempt, not null
     * @return the lifecycle after the event and the action to carry out, never null
     */
    public GangTransition onMemberEvent(
            int member, MemberEvent event, long nowMillis, LeaseTimings timings) {
        List<MemberEvent> changed = new ArrayList<>(members);
        changed.set(member, Objects.requireNonNull(event, "event"));
        GangLifecycle updated = new GangLifecycle(state, changed, deadlineMillis);
        if (state == GangState.LEASING && nowMillis >= deadlineMillis) {
            return updated.fire(GangEvent.TIMED_OUT, nowMillis, timings);
        }
        Optional<GangEvent> implied = updated.impliedGangEvent(event);
        return implied.map(e -> updated.fire(e, nowMillis, timings))
                .orElseGet(() -> new GangTransition(updated, Optional.empty()));
    }

    /**
     * Requests a stop of the gang, with a checkpoint if the gang runs.
     *
     * @param nowMillis the current time, in milliseconds
     * @param timings the times that bound the attempt, not null
     * @return the lifecycle after the event and the action to carry out, never null
     */
    public GangTransition stop(long nowMillis, LeaseTimings timings) {
        return fire(GangEvent.STOP_REQUESTED, nowMillis, timings);
    }

    /**
     * Times out the current state if its deadline has passed.
     *
     * @param nowMillis the current time, in milliseconds
     * @param timings the times that bound the attempt, not null
     * @return the lifecycle after the event and the action to carry out, never null
     */
    public GangTransition checkDeadline(long nowMillis, LeaseTimings timings) {
        if (nowMillis < deadlineMillis) {
            return new GangTransition(this, Optional.empty());
        }
        return fire(GangEvent.TIMED_OUT, nowMillis, timings);
    }

    /**
     * Tells whether the attempt is over.
     *
     * @return whether no event can change the state
     */
    public boolean isOver() {
        return CHART.isTerminal(state);
    }

    private GangTransition fire(GangEvent event, long nowMillis, LeaseTimings timings) {
        Transition<GangState, GangAction> next = CHART.next(state, event);
        if (next.ignored()) {
            return new GangTransition(this, Optional.empty());
        }
        // The bound for a start covers LEASING and STARTING together, so STARTING keeps the
        // deadline. Every other transition sets a new deadline.
        long deadline =
                next.target() == GangState.STARTING
                        ? deadlineMillis
                        : nowMillis + timings.startBoundMillis();
        GangLifecycle updated = new GangLifecycle(next.target(), members, deadline);
        return new GangTransition(updated, next.action());
    }

    private Optional<GangEvent> impliedGangEvent(MemberEvent event) {
        return switch (event) {
            case LEASED -> ifAllMembers(GangEvent.ALL_LEASED, MemberEvent.LEASED);
            case RUNNING ->
                    ifAllMembers(GangEvent.ALL_RUNNING, MemberEvent.RUNNING, MemberEvent.SUCCEEDED);
            case SUCCEEDED -> impliedBySuccess();
            case CHECKPOINTED ->
                    ifAllMembers(
                            GangEvent.ALL_CHECKPOINTED,
                            MemberEvent.CHECKPOINTED,
                            MemberEvent.SUCCEEDED);
            case RETURNED -> ifAllMembers(GangEvent.ALL_RETURNED, MemberEvent.RETURNED);
            case REFUSED -> Optional.of(GangEvent.LEASE_REFUSED);
            case LAPSED -> Optional.of(GangEvent.LEASE_LAPSED);
            case FAILED -> Optional.of(GangEvent.TASK_FAILED);
            case LOST -> Optional.of(GangEvent.MEMBER_LOST);
        };
    }

    private Optional<GangEvent> impliedBySuccess() {
        // The state chart ignores ALL_SUCCEEDED in STARTING; a success there counts as running.
        Optional<GangEvent> allSucceeded =
                ifAllMembers(GangEvent.ALL_SUCCEEDED, MemberEvent.SUCCEEDED);
        if (state == GangState.STARTING) {
            return ifAllMembers(GangEvent.ALL_RUNNING, MemberEvent.RUNNING, MemberEvent.SUCCEEDED);
        }
        return allSucceeded;
    }

    private Optional<GangEvent> ifAllMembers(GangEvent event, MemberEvent... accepted) {
        List<MemberEvent> acceptedEvents = List.of(accepted);
        boolean matches = members.stream().allMatch(m -> m != null && acceptedEvents.contains(m));
        return matches ? Optional.of(event) : Optional.empty();
    }
}
