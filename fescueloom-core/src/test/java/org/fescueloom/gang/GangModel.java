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
 * One gang of two members with its planner, its keepers and its faults, in steps of one second.
 * Every step but the passing of time may be left out, which stands for pauses and deaths.
 */
record GangModel(
        Rules rules,
        GangLifecycle planner,
        List<Member> members,
        int knownTicks,
        int silentTicks,
        int renewalAge,
        int pauses,
        int faults,
        int partialTicks,
        int endedTicks,
        String violation) {
    static final LeaseTimings TERMS = new LeaseTimings(3_000, 500, 500, 2_000, 1_000);
    private static final int TICK = 1_000;
    private static final int TTL = 3;
    private static final int ROUND = 1;
    private static final int NONE = -1;
    private static final int CAP = 9;

    /** What is switched off to see the violation. */
    enum Rules {
        ALL,
        ONE_STEP_START,
        RENEW_EACH_FOR_ITSELF
    }

    enum Lease {
        NONE,
        HELD,
        BARRED
    }

    record Member(Lease lease, int left, TaskState task, boolean frozen, boolean dead) {
        boolean runs() {
            return task == TaskState.RUNNING && !frozen && !dead;
        }

        boolean runsOrSucceeded() {
            return runs() || task == TaskState.SUCCEEDED;
        }

        boolean answers() {
            return !frozen && !dead;
        }

        Member holding(Lease newLease, int newLeft, TaskState newTask) {
            return new Member(newLease, newLeft, newTask, frozen, dead);
        }

        Member tick() {
            Member older = holding(lease, Math.max(0, left - 1), task);
            return older.answers() ? older.lapse() : older;
        }

        Member lapse() {
            boolean lapses = lease == Lease.HELD && left == 0;
            return lapses ? holding(Lease.BARRED, 0, null) : this;
        }

        Member renewed() {
            boolean renews = answers() && lease == Lease.HELD;
            return renews ? holding(lease, TTL, task) : this;
        }
    }

    static GangModel start(Rules rules, int pauses) {
        Member idle = new Member(Lease.NONE, 0, null, false, false);
        GangLifecycle run = GangLifecycle.begin(2, 0, TERMS);
        return new GangModel(rules, run, List.of(idle, idle), 0, 0, NONE, pauses, 1, 0, NONE, null);
    }

    Map<String, GangModel> steps() {
        Map<String, GangModel> next = new TreeMap<>();
        next.put("second passes", tick());
        for (int i = 0; i < members.size(); i++) {
            plannerSteps(next, i);
            memberSteps(next, i);
        }
        next.put("planner gives up", with(planner.checkDeadline(0, TERMS).run()));
        next.put("planner stops", with(planner.stop(0, TERMS).run()));
        next.put("keeper decides", decide());
        if (renewalAge != NONE) {
            next.put("renewals arrive", renew(0).renew(1).withRenewal(NONE));
            next.put("first renewal arrives", renew(0).withRenewal(NONE));
            next.put("second renewal arrives", renew(1).withRenewal(NONE));
        }
        next.put("loss is recorded", stopped());
        return next;
    }

    private void plannerSteps(Map<String, GangModel> next, int i) {
        Member member = members.get(i);
        if (planner.deadlineMillis() == 0 && planner.state() != GangState.RETURNING) {
            return;
        }
        if (planner.state() == GangState.LEASING && member.answers()) {
            boolean free = member.lease() == Lease.NONE;
            Member leased = free ? member.holding(Lease.HELD, TTL, null) : member;
            boolean held = leased.lease() == Lease.HELD;
            GangModel after = with(i, leased);
            next.put("lease answer lost " + i, after);
            next.put("lease " + i, after.told(i, held ? MemberEvent.LEASED : MemberEvent.REFUSED));
        }
        boolean early = rules == Rules.ONE_STEP_START && planner.members().get(i) != null;
        if ((planner.state() == GangState.STARTING || early) && member.answers()) {
            boolean held = member.lease() == Lease.HELD;
            boolean fresh = held && member.task() == null;
            GangModel after =
                    fresh
                            ? with(i, member.holding(Lease.HELD, member.left(), TaskState.RUNNING))
                            : this;
            boolean unsafe = fresh && members.stream().anyMatch(m -> m.lease() == Lease.NONE);
            GangModel checked = unsafe ? after.violated("started before all leases") : after;
            next.put("start answer lost " + i, checked);
            next.put(
                    "start " + i, checked.told(i, held ? MemberEvent.RUNNING : MemberEvent.LAPSED));
        }
        boolean returning = planner.state() == GangState.RETURNING || endedTicks != NONE;
        if (returning && member.answers()) {
            next.put(
                    "return " + i,
                    with(i, member.holding(Lease.BARRED, 0, null)).told(i, MemberEvent.RETURNED));
        }
    }

    private void memberSteps(Map<String, GangModel> next, int i) {
        Member member = members.get(i);
        if (member.runs()) {
            next.put(
                    "succeed " + i,
                    with(i, member.holding(member.lease(), member.left(), TaskState.SUCCEEDED)));
            next.put(
                    "fail " + i,
                    with(i, member.holding(member.lease(), member.left(), TaskState.FAILED)));
        }
        if (faults > 0 && member.answers()) {
            next.put(
                    "die " + i,
                    with(i, new Member(Lease.BARRED, 0, null, false, true)).withFault());
            next.put(
                    "freeze " + i,
                    with(i, new Member(member.lease(), member.left(), member.task(), true, false))
                            .withFault());
        }
        if (member.frozen()) {
            next.put(
                    "thaw " + i,
                    with(
                            i,
                            new Member(member.lease(), member.left(), member.task(), false, false)
                                    .lapse()));
        }
    }

    private GangModel tick() {
        List<Member> later = members.stream().map(Member::tick).toList();
        GangLifecycle run =
                new GangLifecycle(
                        planner.state(),
                        planner.members(),
                        Math.max(0, planner.deadlineMillis() - TICK));
        boolean dropped = renewalAge == ROUND && pauses == 0;
        int age = renewalAge == NONE || dropped ? NONE : Math.min(CAP, renewalAge + 1);
        int left = renewalAge == ROUND ? Math.max(0, pauses - 1) : pauses;
        boolean partial =
                members.stream().anyMatch(Member::runs)
                        && !members.stream().allMatch(Member::runsOrSucceeded);
        int ended = endedTicks == NONE ? NONE : Math.min(CAP, endedTicks + 1);
        int silent =
                members.stream().allMatch(Member::answers) ? 0 : Math.min(TTL, silentTicks + 1);
        return new GangModel(
                rules,
                run,
                later,
                Math.min(TTL, knownTicks + 1),
                silent,
                age,
                left,
                faults,
                partial ? Math.min(CAP, partialTicks + 1) : 0,
                ended,
                violation);
    }

    private GangModel decide() {
        KeeperDecision decision = KeeperPolicy.decide(observation(), TERMS);
        boolean anyRuns = members.stream().anyMatch(Member::runs);
        if (rules == Rules.RENEW_EACH_FOR_ITSELF && anyRuns) {
            return withRenewal(0);
        }
        return switch (decision.action()) {
            case RENEW -> withRenewal(0);
            case STOP -> stopped();
            case COMPLETE ->
                    members.stream().allMatch(m -> m.task() == TaskState.SUCCEEDED)
                            ? this
                            : violated("accepted the result of a part");
            case WAIT -> this;
        };
    }

    private GangModel stopped() {
        GangModel world = this;
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            world = member.answers() ? world.with(i, member.holding(Lease.BARRED, 0, null)) : world;
        }
        return world.withEnded(Math.max(0, endedTicks));
    }

    private GangObservation observation() {
        List<GangMember> placed = new ArrayList<>();
        Map<String, WorkerReport> reports = new TreeMap<>();
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            String worker = "w" + i;
            placed.add(new GangMember("" + i, worker, "127.0.0.1:1", "l" + i, List.of()));
            if (member.answers()) {
                reports.put(worker, report(worker, i, member));
            }
        }
        GangPlaced gang = new GangPlaced("job", "attempt", 1, placed, null, 1, 1, 0, 0);
        boolean valid = endedTicks * TICK < TERMS.viewAgeMillis();
        return new GangObservation(
                gang,
                reports,
                (long) knownTicks * TICK,
                (long) silentTicks * TICK,
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

    private GangModel told(int i, MemberEvent event) {
        return with(planner.onMemberEvent(i, event, 0, TERMS).run());
    }

    private GangModel renew(int i) {
        return with(i, members.get(i).renewed());
    }

    private GangModel with(int i, Member member) {
        List<Member> changed = new ArrayList<>(members);
        changed.set(i, member);
        boolean whole = changed.stream().allMatch(Member::runsOrSucceeded);
        return new GangModel(
                rules,
                planner,
                List.copyOf(changed),
                knownTicks,
                silentTicks,
                renewalAge,
                pauses,
                faults,
                whole ? 0 : partialTicks,
                endedTicks,
                violation);
    }

    private GangModel with(GangLifecycle run) {
        return new GangModel(
                rules,
                run,
                members,
                knownTicks,
                silentTicks,
                renewalAge,
                pauses,
                faults,
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
                pauses,
                faults,
                partialTicks,
                endedTicks,
                violation);
    }

    private GangModel withEnded(int ticks) {
        return new GangModel(
                rules,
                planner,
                members,
                knownTicks,
                silentTicks,
                renewalAge,
                pauses,
                faults,
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
                renewalAge,
                pauses,
                faults - 1,
                partialTicks,
                endedTicks,
                violation);
    }

    private GangModel violated(String what) {
        return new GangModel(
                rules,
                planner,
                members,
                knownTicks,
                silentTicks,
                renewalAge,
                pauses,
                faults,
                partialTicks,
                endedTicks,
                what);
    }
}
