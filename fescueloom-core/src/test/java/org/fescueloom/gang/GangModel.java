package org.fescueloom.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerReport;

/**
 * Models one gang of two members with its planner, its keepers and its faults, in steps of one
 * second. Every step except the passing of time is optional, which models pauses and crashes of the
 * planner and of keepers.
 *
 * @param rules the rules that are in force
 * @param planner the gang attempt as the planner sees it
 * @param members the members with their leases and tasks
 * @param knownTicks the seconds since the keeper learned of the gang
 * @param silentTicks the seconds since all workers last responded
 * @param renewalTicks the seconds since the keeper decided on renewals that have not arrived;
 *     {@link #NONE} if there are none
 * @param keeperPauses how many times a keeper may still be paused between its decision and its
 *     renewals
 * @param faultsLeft how many faults may still occur
 * @param partialTicks the seconds for which only a part of the members has run
 * @param endedTicks the seconds since the end of the attempt was recorded; {@link #NONE} before the
 *     end
 * @param violation the invariant that was violated; null if none was
 */
record GangModel(
        Rules rules,
        GangLifecycle planner,
        List<Member> members,
        int knownTicks,
        int silentTicks,
        int renewalTicks,
        int keeperPauses,
        int faultsLeft,
        int partialTicks,
        int endedTicks,
        String violation) {
    static final LeaseTimings TIMINGS = new LeaseTimings(3_000, 500, 500, 2_000, 1_000);
    private static final int TICK_MILLIS = 1_000;

    /** The duration of a lease, in seconds; equal to {@link LeaseTimings#ttlMillis()}. */
    private static final int LEASE_TICKS = 3;

    /**
     * The time after which renewals of a keeper that is not paused have arrived or are lost, in
     * seconds; equal to {@link LeaseTimings#maxRenewalDelayMillis()}.
     */
    private static final int MAX_RENEWAL_TICKS = 1;

    private static final int NONE = -1;

    /**
     * The value at which counters of seconds stop, so that the number of states is finite; above
     * every bound that {@link GangStateSpaceTest} checks.
     */
    private static final int MAX_COUNTED_TICKS = 9;

    /**
     * Names the sets of rules; a set without one rule lets a test check that the violation is
     * detected.
     */
    enum Rules {
        ALL,
        START_WITHOUT_ALL_LEASES,
        RENEW_INDEPENDENTLY
    }

    /** Names the states of a lease; a lease that is over is never granted again. */
    enum Lease {
        NONE,
        HELD,
        OVER
    }

    /**
     * Models a member with its lease and its task; a frozen worker is paused, a dead one is gone.
     */
    record Member(Lease lease, int remainingTicks, TaskState task, boolean frozen, boolean dead) {
        boolean runs() {
            return task == TaskState.RUNNING && !frozen && !dead;
        }

        boolean runsOrSucceeded() {
            return runs() || task == TaskState.SUCCEEDED;
        }

        boolean responds() {
            return !frozen && !dead;
        }

        Member withLeaseAndTask(Lease newLease, int newRemainingTicks, TaskState newTask) {
            return new Member(newLease, newRemainingTicks, newTask, frozen, dead);
        }

        Member afterTick() {
            Member aged = withLeaseAndTask(lease, Math.max(0, remainingTicks - 1), task);
            return aged.responds() ? aged.lapseIfExpired() : aged;
        }

        Member lapseIfExpired() {
            boolean lapses = lease == Lease.HELD && remainingTicks == 0;
            return lapses ? withLeaseAndTask(Lease.OVER, 0, null) : this;
        }

        Member renewIfHeld() {
            boolean renews = responds() && lease == Lease.HELD;
            return renews ? withLeaseAndTask(lease, LEASE_TICKS, task) : this;
        }
    }

    static GangModel start(Rules rules, int pauses) {
        Member idle = new Member(Lease.NONE, 0, null, false, false);
        GangLifecycle lifecycle = GangLifecycle.begin(2, 0, TIMINGS);
        return new GangModel(
                rules, lifecycle, List.of(idle, idle), 0, 0, NONE, pauses, 1, 0, NONE, null);
    }

    Map<String, GangModel> steps() {
        Map<String, GangModel> next = new TreeMap<>();
        next.put("second passes", afterTick());
        for (int i = 0; i < members.size(); i++) {
            plannerSteps(next, i);
            memberSteps(next, i);
        }
        next.put("planner deadline is checked", with(planner.checkDeadline(0, TIMINGS).run()));
        next.put("planner stops", with(planner.stop(0, TIMINGS).run()));
        next.put("keeper decides", afterKeeperDecision());
        if (renewalTicks != NONE) {
            next.put("renewals arrive", withRenewedLease(0).withRenewedLease(1).withRenewal(NONE));
            next.put("first renewal arrives", withRenewedLease(0).withRenewal(NONE));
            next.put("second renewal arrives", withRenewedLease(1).withRenewal(NONE));
        }
        next.put("loss is recorded", afterKeeperStop());
        return next;
    }

    private void plannerSteps(Map<String, GangModel> next, int i) {
        Member member = members.get(i);
        // A planner whose deadline has passed calls no worker any more, except to return leases.
        if (planner.deadlineMillis() == 0 && planner.state() != GangState.RETURNING) {
            return;
        }
        if (planner.state() == GangState.LEASING && member.responds()) {
            boolean free = member.lease() == Lease.NONE;
            Member leased = free ? member.withLeaseAndTask(Lease.HELD, LEASE_TICKS, null) : member;
            boolean held = leased.lease() == Lease.HELD;
            GangModel after = with(i, leased);
            next.put("lease response lost " + i, after);
            next.put(
                    "lease " + i,
                    after.withMemberEvent(i, held ? MemberEvent.LEASED : MemberEvent.REFUSED));
        }
        boolean startsEarly =
                rules == Rules.START_WITHOUT_ALL_LEASES && planner.members().get(i) != null;
        if ((planner.state() == GangState.STARTING || startsEarly) && member.responds()) {
            boolean held = member.lease() == Lease.HELD;
            boolean startsTask = held && member.task() == null;
            GangModel after =
                    startsTask
                            ? with(
                                    i,
                                    member.withLeaseAndTask(
                                            Lease.HELD, member.remainingTicks(), TaskState.RUNNING))
                            : this;
            boolean unsafe = startsTask && members.stream().anyMatch(m -> m.lease() == Lease.NONE);
            GangModel checked = unsafe ? after.withViolation("started before all leases") : after;
            next.put("start response lost " + i, checked);
            next.put(
                    "start " + i,
                    checked.withMemberEvent(i, held ? MemberEvent.RUNNING : MemberEvent.LAPSED));
        }
        boolean returning = planner.state() == GangState.RETURNING || endedTicks != NONE;
        if (returning && member.responds()) {
            next.put(
                    "return " + i,
                    with(i, member.withLeaseAndTask(Lease.OVER, 0, null))
                            .withMemberEvent(i, MemberEvent.RETURNED));
        }
    }

    private void memberSteps(Map<String, GangModel> next, int i) {
        Member member = members.get(i);
        if (member.runs()) {
            next.put(
                    "succeed " + i,
                    with(
                            i,
                            member.withLeaseAndTask(
                                    member.lease(), member.remainingTicks(), TaskState.SUCCEEDED)));
            next.put(
                    "fail " + i,
                    with(
                            i,
                            member.withLeaseAndTask(
                                    member.lease(), member.remainingTicks(), TaskState.FAILED)));
        }
        if (faultsLeft > 0 && member.responds()) {
            next.put("die " + i, with(i, new Member(Lease.OVER, 0, null, false, true)).withFault());
            next.put(
                    "freeze " + i,
                    with(
                                    i,
                                    new Member(
                                            member.lease(),
                                            member.remainingTicks(),
                                            member.task(),
                                            true,
                                            false))
                            .withFault());
        }
        if (member.frozen()) {
            next.put(
                    "thaw " + i,
                    with(
                            i,
                            new Member(
                                            member.lease(),
                                            member.remainingTicks(),
                                            member.task(),
                                            false,
                                            false)
                                    .lapseIfExpired()));
        }
    }

    private GangModel afterTick() {
        List<Member> agedMembers = members.stream().map(Member::afterTick).toList();
        GangLifecycle agedPlanner =
                new GangLifecycle(
                        planner.state(),
                        planner.members(),
                        Math.max(0, planner.deadlineMillis() - TICK_MILLIS));
        boolean expired = renewalTicks == MAX_RENEWAL_TICKS && keeperPauses == 0;
        int age =
                renewalTicks == NONE || expired
                        ? NONE
                        : Math.min(MAX_COUNTED_TICKS, renewalTicks + 1);
        int pausesLeft =
                renewalTicks == MAX_RENEWAL_TICKS ? Math.max(0, keeperPauses - 1) : keeperPauses;
        boolean partial =
                members.stream().anyMatch(Member::runs)
                        && !members.stream().allMatch(Member::runsOrSucceeded);
        int ended = endedTicks == NONE ? NONE : Math.min(MAX_COUNTED_TICKS, endedTicks + 1);
        int silent =
                members.stream().allMatch(Member::responds)
                        ? 0
                        : Math.min(LEASE_TICKS, silentTicks + 1);
        return new GangModel(
                rules,
                agedPlanner,
                agedMembers,
                Math.min(LEASE_TICKS, knownTicks + 1),
                silent,
                age,
                pausesLeft,
                faultsLeft,
                partial ? Math.min(MAX_COUNTED_TICKS, partialTicks + 1) : 0,
                ended,
                violation);
    }

    private GangModel afterKeeperDecision() {
        KeeperDecision decision = KeeperPolicy.decide(observation(), TIMINGS);
        boolean anyRuns = members.stream().anyMatch(Member::runs);
        if (rules == Rules.RENEW_INDEPENDENTLY && anyRuns) {
            return withRenewal(0);
        }
        return switch (decision.action()) {
            case RENEW -> withRenewal(0);
            case STOP -> afterKeeperStop();
            case COMPLETE ->
                    members.stream().allMatch(m -> m.task() == TaskState.SUCCEEDED)
                            ? this
                            : withViolation("completed before every task succeeded");
            case WAIT -> this;
        };
    }

    private GangModel afterKeeperStop() {
        GangModel model = this;
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            model =
                    member.responds()
                            ? model.with(i, member.withLeaseAndTask(Lease.OVER, 0, null))
                            : model;
        }
        return model.withEndedTicks(Math.max(0, endedTicks));
    }

    private GangObservation observation() {
        List<GangMember> placed = new ArrayList<>();
        Map<String, WorkerReport> reports = new TreeMap<>();
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            String worker = "w" + i;
            placed.add(new GangMember("" + i, worker, "127.0.0.1:1", "l" + i, List.of()));
            if (member.responds()) {
                reports.put(worker, report(worker, i, member));
            }
        }
        GangPlaced gang = new GangPlaced("job", "attempt", 1, placed, null, 1, 1, 0, 0);
        // Before the end of the attempt, endedTicks is negative and the view is valid.
        boolean valid = endedTicks * TICK_MILLIS < TIMINGS.viewAgeMillis();
        return new GangObservation(
                gang,
                reports,
                (long) knownTicks * TICK_MILLIS,
                (long) silentTicks * TICK_MILLIS,
                0,
                false,
                valid);
    }

    private static WorkerReport report(String worker, int i, Member member) {
        List<TaskReport> tasks =
                member.task() == null
                        ? List.of()
                        : List.of(new TaskReport("" + i, member.task(), 0, 0));
        LeaseReport lease = new LeaseReport("l" + i, "job", "attempt", List.of(), 1, tasks);
        return new WorkerReport(
                worker, 1, 1, member.lease() == Lease.HELD ? List.of(lease) : List.of());
    }

    private GangModel withMemberEvent(int i, MemberEvent event) {
        return with(planner.onMemberEvent(i, event, 0, TIMINGS).run());
    }

    private GangModel withRenewedLease(int i) {
        return with(i, members.get(i).renewIfHeld());
    }

    private GangModel with(int i, Member member) {
        List<Member> changed = new ArrayList<>(members);
        changed.set(i, member);
        boolean complete = changed.stream().allMatch(Member::runsOrSucceeded);
        return new GangModel(
                rules,
                planner,
                List.copyOf(changed),
                knownTicks,
                silentTicks,
                renewalTicks,
                keeperPauses,
                faultsLeft,
                complete ? 0 : partialTicks,
                endedTicks,
                violation);
    }

    private GangModel with(GangLifecycle newPlanner) {
        return new GangModel(
                rules,
                newPlanner,
                members,
                knownTicks,
                silentTicks,
                renewalTicks,
                keeperPauses,
                faultsLeft,
                partialTicks,
                endedTicks,
                violation);
    }

    private GangModel withRenewal(int age) {
        return new GangModel(
                rules,
                planner,
                members,
                knownTicks,
                silentTicks,
                age,
                keeperPauses,
                faultsLeft,
                partialTicks,
                endedTicks,
                violation);
    }

    private GangModel withEndedTicks(int ticks) {
        return new GangModel(
                rules,
                planner,
                members,
                knownTicks,
                silentTicks,
                renewalTicks,
                keeperPauses,
                faultsLeft,
                partialTicks,
                ticks,
                violation);
    }

    private GangModel withFault() {
        return new GangModel(
                rules,
                planner,
                members,
                knownTicks,
                silentTicks,
                renewalTicks,
                keeperPauses,
                faultsLeft - 1,
                partialTicks,
                endedTicks,
                violation);
    }

    private GangModel withViolation(String newViolation) {
        return new GangModel(
                rules,
                planner,
                members,
                knownTicks,
                silentTicks,
                renewalTicks,
                keeperPauses,
                faultsLeft,
                partialTicks,
                endedTicks,
                newViolation);
    }
}
