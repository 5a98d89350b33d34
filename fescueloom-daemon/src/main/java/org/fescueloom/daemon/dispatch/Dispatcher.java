package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.schedule.Assignment;
import org.fescueloom.schedule.RunningUnit;
import org.fescueloom.schedule.SchedulePlan;
import org.fescueloom.schedule.TaskScheduler;
import org.fescueloom.schedule.WaitingUnit;
import org.fescueloom.work.JobPhase;
import org.fescueloom.work.JobView;
import org.fescueloom.work.Placement;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskPhase;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/**
 * Decides for all jobs while it holds the claim of one epoch.
 *
 * <p>Nothing is told to a caller, an agent or an upstream before the record of it is stored. Used
 * on its own thread only; what comes from others is handed to that thread.
 */
final class Dispatcher {
    /** How often leases, due times and old jobs are looked at. */
    static final long TICK_MILLIS = 100;

    /** How long a report of an agent waits for orders. */
    private static final long REPORT_WAIT_MILLIS = 1_000;

    /** How long an order that was sent is given before it is sent again. */
    private static final long ORDER_REPEAT_MILLIS = 400;

    /** After this time without an answer the log service is asked again. */
    private static final long PROOF_AGE_MILLIS = 1_500;

    /** A log service that has failed for this long is down: new jobs are refused at once. */
    private static final long STORE_DOWN_MILLIS = 700;

    private static final long RETRY_MILLIS = 1_000;

    private final long epoch;
    private final DispatchTerms terms;
    private final ScheduledExecutorService loop;
    private final Supplier<FleetView> fleet;
    private final Supplier<List<String>> entries;
    private final StoreContact contact;
    private final Metrics metrics;
    private final DurableWriter writer;
    private final Map<String, WorkJob> jobs;
    private final Map<String, JobView> storedViews = new HashMap<>();
    private final Map<String, List<CompletableFuture<Void>>> unstored = new HashMap<>();
    private final Map<String, AgentView> agents = new LinkedHashMap<>();
    private final Set<String> failedGangRuns = new HashSet<>();
    private final long startedMillis;
    private boolean roundNeeded = true;
    private boolean closed;

    /** Holds what a dispatcher is made from. */
    record Start(
            long epoch, long endOffset, StoreContact.Moment claimed, Map<String, WorkJob> jobs) {}

    Dispatcher(
            Start start,
            DispatchTerms terms,
            KeyedLog log,
            ScheduledExecutorService loop,
            Supplier<FleetView> fleet,
            Supplier<List<String>> entries,
            Metrics metrics,
            Runnable deposed) {
        this.epoch = start.epoch();
        this.terms = terms;
        this.loop = loop;
        this.fleet = fleet;
        this.entries = entries;
        this.metrics = metrics;
        this.contact = StoreContact.onSystemClocks();
        this.contact.confirm(start.claimed());
        this.startedMillis = contact.now().steadyMillis();
        this.jobs = start.jobs();
        this.writer =
                new DurableWriter(
                        log, JobStore.TOPIC, start.endOffset(), loop, contact, metrics, deposed);
        restoreRuns();
    }

    long epoch() {
        return epoch;
    }

    /** Returns for how long the log service has failed this dispatcher, in milliseconds. */
    long storeFailingMillis() {
        return writer.failingMillis();
    }

    /** Starts the regular work. */
    void start() {
        loop.schedule(this::tick, 0, TimeUnit.MILLISECONDS);
    }

    /** Ends all work; callers that wait are told that the outcome is not known. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        writer.close();
        unstored.values()
                .forEach(
                        waiters ->
                                waiters.forEach(
                                        w -> w.completeExceptionally(undecided("replaced"))));
        for (AgentView agent : agents.values()) {
            CompletableFuture<AgentOrders> parked = agent.unpark();
            if (parked != null) {
                parked.completeExceptionally(notDispatcher());
            }
        }
    }

    /** Accepts a job; the future completes once it is stored. */
    CompletableFuture<Void> submit(Submission submission, long waitMillis) {
        String id = submission.id();
        if (jobs.containsKey(id)) {
            return storedViews.containsKey(id) ? done() : await(id, waitMillis);
        }
        if (writer.failingMillis() > STORE_DOWN_MILLIS) {
            return CompletableFuture.failedFuture(
                    new SchedulerException(
                            FailureType.LOG_UNAVAILABLE, "the log is down", RETRY_MILLIS));
        }
        jobs.put(id, new WorkJob(submission));
        unstored.put(id, new ArrayList<>());
        writer.put(JobStore.submissionKey(id), () -> JobStore.write(submission));
        writer.whenStored(() -> accepted(id));
        CompletableFuture<Void> accepted = await(id, waitMillis);
        flush();
        return accepted;
    }

    private CompletableFuture<Void> await(String id, long waitMillis) {
        CompletableFuture<Void> waiter = new CompletableFuture<>();
        unstored.get(id).add(waiter);
        loop.schedule(() -> giveUp(id, waiter), Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
        return waiter;
    }

    /** Answers a caller whose job is still not stored: it never runs if it was not sent yet. */
    private void giveUp(String id, CompletableFuture<Void> waiter) {
        if (waiter.isDone()) {
            return;
        }
        boolean last = unstored.getOrDefault(id, List.of()).size() == 1;
        if (last && writer.withdraw(JobStore.submissionKey(id))) {
            jobs.remove(id);
            unstored.remove(id);
            waiter.completeExceptionally(
                    new SchedulerException(
                            FailureType.LOG_UNAVAILABLE, "the log is down", RETRY_MILLIS));
        } else {
            waiter.completeExceptionally(undecided("the log has not answered"));
        }
    }

    private void accepted(String id) {
        List<CompletableFuture<Void>> waiters = unstored.remove(id);
        if (waiters == null) {
            return;
        }
        storedViews.put(id, JobView.QUEUED);
        metrics.count("tasks.jobs-accepted");
        waiters.forEach(w -> w.complete(null));
        roundNeeded = true;
        plan();
    }

    /** Returns the state of a job as it is stored. */
    JobView view(String id) {
        return storedViews.getOrDefault(id, JobView.UNKNOWN);
    }

    /** Cancels a job; the future tells whether there is such a job, once that is stored. */
    CompletableFuture<Boolean> cancel(String id) {
        WorkJob job = jobs.get(id);
        if (job == null) {
            return CompletableFuture.completedFuture(false);
        }
        if (!job.phase().ended()) {
            job.end(JobPhase.CANCELLED, dateMillis());
            EventLog.event("job-cancelled").field("job", id).field("epoch", epoch).info();
            stopAll(job);
            changed(job);
        }
        CompletableFuture<Boolean> stored = new CompletableFuture<>();
        writer.whenStored(() -> stored.complete(true));
        flush();
        return stored;
    }

    /** Counts the accepted jobs of a queue that have not begun. */
    long pending(String queue) {
        long count = 0;
        for (WorkJob job : jobs.values()) {
            if (job.submission().queue().equals(queue)
                    && !job.phase().ended()
                    && !job.begun()
                    && storedViews.containsKey(job.submission().id())) {
                count++;
            }
        }
        return count;
    }

    /** Takes a report of an agent; the future completes when there are orders, or after a while. */
    CompletableFuture<AgentOrders> report(AgentReport report) {
        long now = steadyMillis();
        AgentView agent = agent(report.agent());
        CompletableFuture<AgentOrders> reply = new CompletableFuture<>();
        if (!agent.accept(report, now)) {
            reply.complete(ordersFor(agent, now));
            return reply;
        }
        CompletableFuture<AgentOrders> before = agent.unpark();
        if (before != null) {
            before.complete(ordersFor(agent, now));
        }
        takeIn(agent, report, now);
        flush();
        plan();
        agent.park(reply, now);
        answerIfNeeded(agent, now, report.ended().isEmpty() ? 0 : 1);
        return reply;
    }

    private AgentView agent(String name) {
        return agents.computeIfAbsent(
                name, n -> new AgentView(n, startedMillis + terms.storeProofMillis()));
    }

    private void restoreRuns() {
        for (WorkJob job : jobs.values()) {
            storedViews.put(job.submission().id(), job.view());
            for (TaskKey key : job.assigned()) {
                TaskRecord task = job.task(key);
                StepSpec spec = spec(job, key);
                AssignedRun run =
                        new AssignedRun(
                                key,
                                task.run(),
                                task.placement().boot(),
                                spec.room(),
                                startedMillis);
                run.markStored();
                if (job.phase().ended()) {
                    run.requestStop();
                }
                agent(task.placement().agent()).runs().put(key.toString(), run);
            }
        }
    }

    private void takeIn(AgentView agent, AgentReport report, long now) {
        UpstreamNotice notice = report.notice();
        if (notice == null) {
            return;
        }
        for (AssignedRun run : agent.runsOfOtherBoots()) {
            endRun(agent, run, RunEnd.GONE, "");
        }
        if (notice.state() == UpstreamState.GONE) {
            for (AssignedRun run : List.copyOf(agent.runs().values())) {
                endRun(agent, run, RunEnd.GONE, "");
            }
            return;
        }
        if (!report.looked()) {
            return;
        }
        boolean news = false;
        for (EndRow row : report.ended()) {
            if (agent.takeEnd(row.number())) {
                takeEnd(agent, row);
                news = true;
            }
        }
        if (news) {
            String boot = agent.boot();
            long taken = agent.takenEnds();
            writer.whenStored(
                    () -> {
                        agent.acknowledge(boot, taken);
                        answerIfNeeded(agent, steadyMillis(), 1);
                    });
        }
        for (RunRow row : report.running()) {
            seen(agent, row, now);
        }
        for (StopOrder barred : report.barred()) {
            AssignedRun run = agent.runs().get(barred.task());
            if (run != null && run.number() == barred.run() && run.boot().equals(barred.boot())) {
                endRun(agent, run, RunEnd.GONE, "");
            }
        }
    }

    private void takeEnd(AgentView agent, EndRow row) {
        AssignedRun run = agent.runs().get(row.task());
        if (run != null && run.number() == row.run()) {
            endRun(agent, run, row.end(), row.checkpoint());
        } else {
            EventLog.event("end-ignored")
                    .field("task", row.task())
                    .field("run", row.run())
                    .field("end", row.end().text())
                    .field("agent", agent.name())
                    .info();
        }
    }

    private void seen(AgentView agent, RunRow row, long now) {
        AssignedRun run = agent.runs().get(row.task());
        if (run == null || run.number() != row.run()) {
            return;
        }
        run.markSeen(now);
        WorkJob job = jobs.get(run.task().job());
        if (job != null && !row.checkpoint().isEmpty()) {
            saveCheckpoint(job, run, row.checkpoint());
        }
    }

    private void saveCheckpoint(WorkJob job, AssignedRun run, String checkpoint) {
        for (TaskKey key : membersOf(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.put(key, task.saved(checkpoint));
            }
        }
    }

    /** Returns the tasks that end together with a task. */
    private static List<TaskKey> membersOf(WorkJob job, TaskKey task) {
        StepSpec spec = spec(job, task);
        if (!spec.gang()) {
            return List.of(task);
        }
        List<TaskKey> members = new ArrayList<>();
        for (int i = 0; i < spec.count(); i++) {
            members.add(new TaskKey(task.job(), task.occurrence(), task.step(), i));
        }
        return members;
    }

    private void endRun(AgentView agent, AssignedRun run, RunEnd end, String checkpoint) {
        agent.runs().remove(run.task().toString());
        WorkJob job = jobs.get(run.task().job());
        EventLog.event("run-ended")
                .field("task", run.task())
                .field("run", run.number())
                .field("agent", agent.name())
                .field("boot", run.boot())
                .field("end", end.text())
                .field("seen", run.seen())
                .field("epoch", epoch)
                .info();
        metrics.count("tasks.ends." + end.text());
        if (job == null || job.task(run.task()) == null) {
            return;
        }
        boolean gang = spec(job, run.task()).gang();
        RunEnd counted = end;
        if (gang && end == RunEnd.FAILED && !failedGangRuns.add(gangRun(run))) {
            counted = RunEnd.BROKEN;
        }
        if (!checkpoint.isEmpty()) {
            saveCheckpoint(job, run, checkpoint);
        }
        if (gang && end == RunEnd.DONE) {
            gangDone(job, run);
        } else {
            apply(job, run.task(), counted);
        }
        conclude(job);
        changed(job);
        roundNeeded = true;
    }

    private static String gangRun(AssignedRun run) {
        TaskKey task = run.task();
        return task.job() + '.' + task.occurrence() + '.' + task.step() + '#' + run.number();
    }

    /** One end of a gang that is done stands for all its members. */
    private void gangDone(WorkJob job, AssignedRun run) {
        for (TaskKey key : membersOf(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.put(key, new TaskRecord(TaskPhase.DONE, task.run(), null, task.failures(), ""));
                agents.values().forEach(a -> a.runs().remove(key.toString()));
            }
        }
    }

    private static void apply(WorkJob job, TaskKey key, RunEnd end) {
        job.put(key, job.task(key).ended(end, ""));
    }

    /** Ends the job if nothing is left to do or its attempts are used up. */
    private void conclude(WorkJob job) {
        if (job.phase().ended()) {
            return;
        }
        if (job.allDone()) {
            job.end(JobPhase.SUCCEEDED, dateMillis());
        } else if (attemptsUsedUp(job)) {
            job.end(JobPhase.FAILED, dateMillis());
            stopAll(job);
        }
        if (job.phase().ended()) {
            EventLog.event("job-ended")
                    .field("job", job.submission().id())
                    .field("queue", job.submission().queue())
                    .field("phase", job.phase().text())
                    .field("epoch", epoch)
                    .field("millis", dateMillis() - job.submission().acceptedAtMillis())
                    .info();
            metrics.count("tasks.jobs-" + job.phase().text());
        }
    }

    private boolean attemptsUsedUp(WorkJob job) {
        int attempts =
                fleet.get()
                        .configuration()
                        .queue(job.submission().queue())
                        .map(QueuePolicy::attempts)
                        .orElse(Integer.MAX_VALUE);
        List<StepSpec> steps = job.submission().work().steps();
        for (int k : job.dueOccurrences(dateMillis())) {
            for (int s = 0; s < steps.size(); s++) {
                if (!steps.get(s).endless() && failures(job, k, s) >= attempts) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the most failures of a task of a step, or those of its gang. */
    private static int failures(WorkJob job, int occurrence, int step) {
        boolean gang = job.submission().work().steps().get(step).gang();
        int most = 0;
        int sum = 0;
        for (TaskRecord task : job.tasks(occurrence, step)) {
            most = Math.max(most, task.failures());
            sum += task.failures();
        }
        return gang ? sum : most;
    }

    private void stopAll(WorkJob job) {
        String prefix = job.submission().id() + '.';
        for (AgentView agent : agents.values()) {
            for (AssignedRun run : agent.runs().values()) {
                if (run.task().toString().startsWith(prefix)) {
                    run.requestStop();
                }
            }
            answerIfNeeded(agent, steadyMillis(), 0);
        }
    }

    private void changed(WorkJob job) {
        String id = job.submission().id();
        writer.put(JobStore.progressKey(id), () -> JobStore.write(job.progress()));
        JobView view = job.view();
        writer.whenStored(() -> storedViews.computeIfPresent(id, (k, old) -> view));
    }

    private void plan() {
        if (!roundNeeded || closed || fleet.get().configuration() == null) {
            return;
        }
        roundNeeded = false;
        long now = steadyMillis();
        RoundInput input = new RoundInput(fleet.get(), agents.values(), terms, now, dateMillis());
        List<WaitingUnit> waiting = new ArrayList<>();
        for (WorkJob job : jobs.values()) {
            if (!job.phase().ended() && storedViews.containsKey(job.submission().id())) {
                waiting.addAll(input.waiting(job));
            }
        }
        if (waiting.isEmpty()) {
            return;
        }
        SchedulePlan plan = TaskScheduler.plan(waiting, input.running(jobs), input.rooms());
        plan.starts().forEach(start -> assign(start, now));
        plan.stops().forEach(this::preempt);
        flush();
    }

    private void assign(Assignment start, long now) {
        WaitingUnit unit = start.unit();
        WorkJob job = jobs.get(unit.job());
        List<AssignedRun> runs = new ArrayList<>();
        int gangRun = 0;
        for (TaskRecord task : job.tasks(unit.occurrence(), unit.step())) {
            gangRun = Math.max(gangRun, task.run() + 1);
        }
        for (Map.Entry<Integer, String> entry : start.agents().entrySet()) {
            TaskKey key = new TaskKey(unit.job(), unit.occurrence(), unit.step(), entry.getKey());
            AgentView agent = agents.get(entry.getValue());
            TaskRecord task = job.task(key);
            int number = unit.spec().gang() ? gangRun : task.run() + 1;
            job.put(key, task.assigned(number, new Placement(agent.name(), agent.boot())));
            AssignedRun run = new AssignedRun(key, number, agent.boot(), unit.spec().room(), now);
            agent.runs().put(key.toString(), run);
            runs.add(run);
            EventLog.event("run-assigned")
                    .field("task", key)
                    .field("run", number)
                    .field("agent", agent.name())
                    .field("boot", agent.boot())
                    .field("waited", unit.waitedMillis())
                    .field("priority", unit.priority())
                    .field("report-age", now - agent.heardMillis())
                    .field("config", fleet.get().version())
                    .field("epoch", epoch)
                    .info();
        }
        changed(job);
        writer.whenStored(
                () -> {
                    runs.forEach(AssignedRun::markStored);
                    Set<String> woken = new HashSet<>(start.agents().values());
                    woken.forEach(name -> answerIfNeeded(agents.get(name), steadyMillis(), 0));
                });
    }

    private void preempt(RunningUnit unit) {
        EventLog.event("unit-preempted")
                .field("unit", unit.id())
                .field("priority", unit.priority())
                .field("loss", Math.round(unit.lossCoreSeconds()))
                .field("epoch", epoch)
                .info();
        metrics.count("tasks.preempted");
        for (AgentView agent : agents.values()) {
            for (AssignedRun run : agent.runs().values()) {
                StepSpec spec = spec(jobs.get(run.task().job()), run.task());
                if (RoundInput.groupOf(run.task(), spec).equals(unit.id())) {
                    run.requestStop();
                }
            }
            answerIfNeeded(agent, steadyMillis(), 0);
        }
    }

    /** Answers the parked report of an agent if it has something to do. */
    private void answerIfNeeded(AgentView agent, long now, int atLeastAcknowledge) {
        if (!agent.parked()) {
            return;
        }
        boolean due = now - agent.waitingSinceMillis() >= REPORT_WAIT_MILLIS;
        boolean acknowledge =
                atLeastAcknowledge > 0
                        && agent.report() != null
                        && agent.report().ended().stream()
                                .anyMatch(row -> row.number() <= agent.acknowledged());
        if (due || acknowledge || hasOrders(agent, now)) {
            CompletableFuture<AgentOrders> reply = agent.unpark();
            reply.complete(ordersFor(agent, now));
        }
    }

    private boolean hasOrders(AgentView agent, long now) {
        for (AssignedRun run : agent.runs().values()) {
            boolean wanted = run.stopRequested() || !run.seen();
            if (wanted && run.stored() && !run.orderedWithin(ORDER_REPEAT_MILLIS, now)) {
                return true;
            }
        }
        return false;
    }

    private AgentOrders ordersFor(AgentView agent, long now) {
        boolean proven = contact.freshWithin(terms.storeProofMillis());
        List<StartOrder> starts = new ArrayList<>();
        List<StopOrder> stops = new ArrayList<>();
        for (AssignedRun run : agent.runs().values()) {
            if (!run.stored() || !run.boot().equals(agent.boot())) {
                continue;
            }
            if (run.stopRequested()) {
                stops.add(new StopOrder(run.task().toString(), run.number(), run.boot()));
                run.markOrdered(now);
            } else if (!run.seen() && proven && startAllowed(agent)) {
                starts.add(startOrder(run));
                run.markOrdered(now);
            }
        }
        addStrangers(agent, stops);
        boolean granted = proven && agent.looking();
        if (granted) {
            agent.granted(now);
        }
        return new AgentOrders(
                epoch,
                granted ? terms.leaseMillis() : 0,
                agent.boot(),
                agent.acknowledged(),
                starts,
                stops,
                entries.get());
    }

    private boolean startAllowed(AgentView agent) {
        return agent.ready() && !fleet.get().zonesOut().contains(agent.notice().zone());
    }

    /** Stops what runs on the upstream without a record. */
    private void addStrangers(AgentView agent, List<StopOrder> stops) {
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
        WorkJob job = jobs.get(run.task().job());
        return new StartOrder(
                run.task().toString(),
                run.number(),
                run.boot(),
                job.submission().work().payload(),
                job.task(run.task()).checkpoint());
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = steadyMillis();
        for (AgentView agent : agents.values()) {
            boolean lapsed = now - agent.grantedMillis() > terms.surelyLapsedMillis();
            for (AssignedRun run : List.copyOf(agent.runs().values())) {
                if (lapsed) {
                    endRun(agent, run, RunEnd.LAPSED, "");
                } else if (!run.seen() && agent.notice() != null && !startAllowed(agent)) {
                    run.requestStop();
                }
            }
        }
        if (contact.ageMillis() > PROOF_AGE_MILLIS) {
            writer.verify();
        }
        forgetOldJobs();
        roundNeeded = true;
        plan();
        flush();
        agents.values().forEach(agent -> answerIfNeeded(agent, now, 0));
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void forgetOldJobs() {
        long before = dateMillis() - terms.keepEndedMillis();
        List<String> old = new ArrayList<>();
        for (WorkJob job : jobs.values()) {
            if (job.phase().ended() && job.endedAtMillis() < before && job.assigned().isEmpty()) {
                old.add(job.submission().id());
            }
        }
        for (String id : old) {
            jobs.remove(id);
            storedViews.remove(id);
            writer.put(JobStore.progressKey(id), () -> new byte[0]);
            writer.put(JobStore.submissionKey(id), () -> new byte[0]);
        }
    }

    private void flush() {
        writer.flush();
    }

    private static StepSpec spec(WorkJob job, TaskKey task) {
        return job.submission().work().steps().get(task.step());
    }

    private long steadyMillis() {
        return contact.now().steadyMillis();
    }

    private long dateMillis() {
        return contact.now().dateMillis();
    }

    private static CompletableFuture<Void> done() {
        return CompletableFuture.completedFuture(null);
    }

    private static SchedulerException undecided(String detail) {
        return new SchedulerException(FailureType.LOG_UNDECIDED, detail, RETRY_MILLIS);
    }

    /** Says that this process does not dispatch; nothing was done. */
    static SchedulerException notDispatcher() {
        return new SchedulerException(
                FailureType.NOT_DISPATCHER, "another entry dispatches", RETRY_MILLIS);
    }
}
