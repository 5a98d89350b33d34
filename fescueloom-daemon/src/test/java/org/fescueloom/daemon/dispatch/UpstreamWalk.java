package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Resources;

/**
 * Walks through events on machines whose upstreams crash, leave and start again, with the real
 * {@link Dispatcher} and one real {@link UpstreamLink} for each machine. Has no network and no real
 * time: equal steps lead to equal walks.
 */
final class UpstreamWalk {
    private static final int MAX_MACHINES = 3;
    private static final int MAX_STEPS = 70;
    private static final int MAX_AMOUNT = 10_000;
    private static final int MAX_TAKEOVERS = 3;
    private static final int MAX_JOBS = 4;

    /** The number of runs for which an upstream has room. */
    private static final int ROOM = 3;

    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long FIRST_BORN_MILLIS = 1_780_000_000_000L;
    private static final long CLOCK_STEP_MILLIS = 60_000;

    /** No upstream starts twice within the resolution of fencing tokens. */
    private static final long MIN_LIFE_MILLIS = 300;

    /** How long it may take until each upstream gets a start again, once all is calm. */
    private static final long RECOVERY_MILLIS = 12_000;

    /** How long all tasks may take in addition. */
    private static final long FINISH_MILLIS = 60_000;

    private static final Resources CAPACITY = new Resources(ROOM * 1_000, ROOM * 100, ROOM);

    /** What may happen, as often as it is named in {@link #DRAWN}. */
    enum Event {
        EXCHANGE,
        PAUSE_REPORTS,
        REPORT_FAULT,
        PASS,
        CALL_FAULT,
        SILENCE,
        CRASH,
        LEAVE,
        START_AGAIN,
        START_WITH_CLOCK_SET_BACK,
        START_OTHER,
        FOREIGN_DEREGISTRATION,
        FOREIGN_REPORT,
        LATE_STATUS_REPORT,
        STATUS_REPORT_LOST,
        LATE_FORMER_REPORT,
        LATE_FORMER_DEREGISTRATION,
        AGENT_RESTART,
        TAKEOVER,
        FINISH_RUN,
        SUBMIT
    }

    /** A step of a walk. */
    record Step(Event event, int machine, int amount) {}

    private static final List<Event> DRAWN = new ArrayList<>();

    static {
        DRAWN.addAll(List.of(Event.values()));
        DRAWN.addAll(List.of(Event.PASS, Event.PASS, Event.PASS, Event.PASS, Event.PASS));
        DRAWN.addAll(List.of(Event.EXCHANGE, Event.CALL_FAULT, Event.CALL_FAULT, Event.LEAVE));
        DRAWN.addAll(List.of(Event.START_AGAIN, Event.START_AGAIN, Event.START_OTHER));
        DRAWN.addAll(List.of(Event.START_WITH_CLOCK_SET_BACK, Event.SUBMIT));
    }

    /** A machine with its agent. */
    private static final class Place {
        private final WalkMachine machine;
        private final WalkAgent agent;
        private final List<UpstreamNotice> formerReports = new ArrayList<>();
        private UpstreamNotice lastReport;
        private long clockOffsetMillis;
        private int instanceCount = 1;
        private int lostReports;

        private Place(WalkMachine machine, WalkAgent agent) {
            this.machine = machine;
            this.agent = agent;
        }
    }

    private final DispatcherBed bed = new DispatcherBed();
    private final ManualScheduler loop = bed.loop();
    private final WalkJudge judge = new WalkJudge(loop, this::processes);
    private final List<Place> places = new ArrayList<>();
    private final List<String> jobs = new ArrayList<>();
    private Dispatcher dispatcher;
    private int takeovers;

    /** Draws the steps of a walk on two or three machines. */
    static List<Step> draw(long seed) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        int machines = 2 + random.nextInt(MAX_MACHINES - 1);
        int count = 10 + random.nextInt(MAX_STEPS - 10);
        for (int i = 0; i < count; i++) {
            Event event = DRAWN.get(random.nextInt(DRAWN.size()));
            steps.add(new Step(event, random.nextInt(machines), random.nextInt(MAX_AMOUNT)));
        }
        return steps;
    }

    /** Plays steps, then a calm span; returns the judge with the violations and the trace. */
    static WalkJudge play(List<Step> steps) {
        UpstreamWalk walk = new UpstreamWalk();
        try {
            for (int i = 0; i < steps.size() && walk.judge.violations().isEmpty(); i++) {
                walk.judge.trace("STEP " + steps.get(i));
                walk.apply(steps.get(i));
            }
            if (walk.judge.violations().isEmpty()) {
                walk.recover();
            }
        } catch (RuntimeException e) {
            walk.judge.violate("exception: " + e + " of " + e.getCause());
        }
        return walk.judge;
    }

    private UpstreamWalk() {
        dispatcher = bed.claim();
        for (int i = 0; i < MAX_MACHINES; i++) {
            WalkMachine machine = new WalkMachine(loop, judge);
            Place place = new Place(machine, new WalkAgent("a" + i, loop, judge, machine));
            machine.connect(place.agent);
            places.add(place);
            place.agent.findDispatcher(dispatcher);
            place.agent.restart();
            startProcess(place);
            sendHeartbeats(place);
        }
        submit(2 * ROOM);
        loop.advance(1_000);
    }

    private List<WalkProcess> processes() {
        return places.stream().filter(p -> p.machine.up()).map(p -> p.machine.process()).toList();
    }

    private void apply(Step step) {
        Place place = places.get(step.machine());
        int amount = step.amount();
        switch (step.event()) {
            case EXCHANGE -> place.agent.exchange();
            case PAUSE_REPORTS -> place.agent.setPaused(!place.agent.paused());
            case REPORT_FAULT -> place.agent.addFault(fault(amount));
            case PASS -> loop.advance(50 + amount % 2_950);
            case CALL_FAULT -> addCallFault(place, amount);
            case SILENCE -> place.machine.silence(amount % 3_000);
            case CRASH -> crash(place);
            case LEAVE -> leave(place, amount);
            case START_AGAIN, START_WITH_CLOCK_SET_BACK, START_OTHER ->
                    startAnother(place, step.event());
            case FOREIGN_DEREGISTRATION -> deregister(place, amount % 2 == 0);
            case FOREIGN_REPORT -> reportOfOtherWriter(place, amount);
            case LATE_STATUS_REPORT -> reportLate(place, amount);
            case STATUS_REPORT_LOST -> place.lostReports++;
            case LATE_FORMER_REPORT -> reportOfFormer(place, amount);
            case LATE_FORMER_DEREGISTRATION -> deregisterFormer(place, amount);
            case AGENT_RESTART -> place.agent.restart();
            case TAKEOVER -> takeOver(amount);
            case FINISH_RUN -> finishRun(place);
            default -> {
                if (jobs.size() < MAX_JOBS) {
                    submit(1 + amount % 4);
                }
            }
        }
        advanceProcesses();
    }

    private void advanceProcesses() {
        processes().forEach(process -> process.advance(loop.nowMillis()));
    }

    private static WalkFault fault(int amount) {
        WalkFault.Kind[] kinds = WalkFault.Kind.values();
        return new WalkFault(kinds[1 + amount % (kinds.length - 1)], amount / 2);
    }

    private static void addCallFault(Place place, int amount) {
        WalkMachine.Call[] calls = WalkMachine.Call.values();
        place.machine.addFault(calls[amount / 7 % calls.length], fault(amount));
    }

    private void submit(int tasks) {
        String id = "j" + jobs.size();
        jobs.add(id);
        bed.store(0, IntakeRequest.of(JobSamples.job(id, tasks, 1_000, false, true)));
    }

    private void takeOver(int amount) {
        if (takeovers >= MAX_TAKEOVERS) {
            return;
        }
        takeovers++;
        Dispatcher former = dispatcher;
        dispatcher = bed.claim();
        Dispatcher next = dispatcher;
        for (int i = 0; i < places.size(); i++) {
            WalkAgent agent = places.get(i).agent;
            schedule(
                    amount * (i + 1L) % HEARTBEAT_MILLIS,
                    () -> {
                        if (next == dispatcher) {
                            agent.findDispatcher(next);
                        }
                    });
        }
        schedule(HEARTBEAT_MILLIS + 500, former::close);
    }

    private void finishRun(Place place) {
        if (place.machine.up()) {
            place.machine.process().finishOldestRun();
        }
    }

    private void crash(Place place) {
        if (place.machine.up()) {
            judge.trace(place.machine.process().boot() + " crashes");
            endProcess(place);
        }
    }

    private void endProcess(Place place) {
        place.machine.process().end();
        if (place.lastReport != null) {
            place.formerReports.add(place.lastReport);
            place.lastReport = null;
        }
    }

    private void leave(Place place, int amount) {
        if (!place.machine.up() || place.machine.process().leaving()) {
            return;
        }
        WalkProcess process = place.machine.process();
        process.markLeaving();
        heartbeat(place);
        schedule(
                amount % 3_000,
                () -> {
                    if (process.up()) {
                        judge.trace(process.boot() + " deregisters");
                        place.agent.onDeregistration(
                                process.instance(), amount % 2 == 0 ? process.bornMillis() : 0);
                        schedule(amount % 3 == 0 ? 2_500 : 20, () -> endIfUp(place, process));
                    }
                });
    }

    private void endIfUp(Place place, WalkProcess process) {
        if (process.up()) {
            judge.trace(process.boot() + " ends");
            endProcess(place);
        }
    }

    private void startAnother(Place place, Event event) {
        WalkProcess former = place.machine.process();
        if (loop.nowMillis() - former.startedMillis() < MIN_LIFE_MILLIS) {
            return;
        }
        crash(place);
        if (event == Event.START_WITH_CLOCK_SET_BACK) {
            place.clockOffsetMillis -= CLOCK_STEP_MILLIS;
        } else if (event == Event.START_OTHER) {
            place.instanceCount++;
        }
        startProcess(place);
    }

    private void startProcess(Place place) {
        String instance = "i-" + place.agent.name() + '-' + place.instanceCount;
        place.machine.startProcess(
                instance, FIRST_BORN_MILLIS + loop.nowMillis() + place.clockOffsetMillis);
        heartbeat(place);
    }

    private void sendHeartbeats(Place place) {
        schedule(
                HEARTBEAT_MILLIS,
                () -> {
                    if (place.machine.up()) {
                        heartbeat(place);
                    }
                    sendHeartbeats(place);
                });
    }

    private void heartbeat(Place place) {
        UpstreamNotice report = nextReport(place);
        if (place.lostReports > 0) {
            place.lostReports--;
        } else {
            place.agent.onReport(report);
        }
    }

    private UpstreamNotice nextReport(Place place) {
        WalkProcess process = place.machine.process();
        place.lastReport =
                notice(
                        process.instance(),
                        process.bornMillis(),
                        process.leaving() ? UpstreamState.DRAINING : UpstreamState.READY,
                        process.nextSequence());
        return place.lastReport;
    }

    private static UpstreamNotice notice(
            String instance, long bornMillis, UpstreamState state, long sequence) {
        return notice(instance, bornMillis, "service", state, sequence);
    }

    private static UpstreamNotice notice(
            String instance, long bornMillis, String service, UpstreamState state, long sequence) {
        return new UpstreamNotice(
                instance,
                bornMillis,
                service,
                "zone",
                state,
                CAPACITY,
                List.of("a", "r1"),
                "r1",
                0,
                sequence);
    }

    private void deregister(Place place, boolean withBorn) {
        WalkProcess process = place.machine.process();
        place.agent.onDeregistration(process.instance(), withBorn ? process.bornMillis() : 0);
    }

    private void reportOfOtherWriter(Place place, int amount) {
        WalkProcess process = place.machine.process();
        long later = process.bornMillis() + 1 + amount;
        String instance = amount % 3 == 0 ? "i-other" : process.instance();
        long born = amount % 3 == 2 ? process.bornMillis() : later;
        place.agent.onForeignReport(
                notice(instance, born, "other-service", UpstreamState.READY, 1L << 40));
    }

    private void reportLate(Place place, int amount) {
        if (place.machine.up()) {
            UpstreamNotice report = nextReport(place);
            schedule(amount % 4_000, () -> place.agent.onReport(report));
        }
    }

    private void reportOfFormer(Place place, int amount) {
        if (!place.formerReports.isEmpty()) {
            place.agent.onReport(place.formerReports.get(amount % place.formerReports.size()));
        }
    }

    private void deregisterFormer(Place place, int amount) {
        if (!place.formerReports.isEmpty()) {
            UpstreamNotice former = place.formerReports.get(amount % place.formerReports.size());
            place.agent.onDeregistration(former.instance(), former.bornMillis());
        }
    }

    /** Plays a calm span, and checks that all live upstreams get starts and all tasks end done. */
    private void recover() {
        judge.trace("CALM");
        for (Place place : places) {
            place.machine.calm();
            place.agent.calm();
            place.lostReports = 0;
        }
        if (processes().stream().allMatch(WalkProcess::leaving)) {
            loop.advance(MIN_LIFE_MILLIS);
            startAnother(places.get(0), Event.START_AGAIN);
        }
        long calmMillis = loop.nowMillis();
        List<WalkProcess> live = processes().stream().filter(p -> !p.leaving()).toList();
        while (loop.nowMillis() < calmMillis + RECOVERY_MILLIS) {
            submit(ROOM * live.size());
            for (int i = 0; i < 15; i++) {
                loop.advance(100);
                advanceProcesses();
            }
        }
        for (WalkProcess process : live) {
            if (judge.lastStartMillis(process) < calmMillis) {
                judge.violate("no start in the calm span: " + process.boot());
            }
        }
        finishJobs();
    }

    private void finishJobs() {
        long untilMillis = loop.nowMillis() + FINISH_MILLIS;
        while (loop.nowMillis() < untilMillis && !unfinishedJobs().isEmpty()) {
            loop.advance(100);
            advanceProcesses();
        }
        if (!unfinishedJobs().isEmpty()) {
            judge.violate("jobs not done: " + unfinishedJobs());
        }
    }

    private List<String> unfinishedJobs() {
        return jobs.stream()
                .filter(job -> bed.jobStatus(dispatcher, job) != JobStatus.SUCCEEDED)
                .toList();
    }

    private void schedule(long millis, Runnable work) {
        loop.schedule(work, millis, TimeUnit.MILLISECONDS);
    }
}
