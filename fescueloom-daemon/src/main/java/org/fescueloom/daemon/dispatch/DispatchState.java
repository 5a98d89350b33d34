package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.schedule.UpstreamSpeed;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/** Holds what the parts of a dispatcher share; used on its thread only. */
final class DispatchState {
    /** An upstream that has served nothing for a day is taken for gone. */
    private static final long KEEP_SPEED_MILLIS = 86_400_000;

    private final long epoch;
    private final DispatchTimings timings;
    private final Supplier<FleetView> fleet;
    private final LogServiceContact contact;
    private final Metrics metrics;
    private final DurableWriter writer;
    private final Map<String, WorkJob> jobs;
    private final Map<String, UpstreamSpeed> storedSpeeds;
    private final long startedMillis;
    private final Map<String, JobStatus> storedViews = new HashMap<>();
    private final Map<String, AgentView> agents = new LinkedHashMap<>();

    DispatchState(
            long epoch,
            JobStore.StoredState content,
            DispatchTimings terms,
            Supplier<FleetView> fleet,
            LogServiceContact contact,
            DurableWriter writer,
            Metrics metrics) {
        this.epoch = epoch;
        this.jobs = content.jobs();
        this.storedSpeeds = content.speeds();
        this.timings = terms;
        this.fleet = fleet;
        this.contact = contact;
        this.writer = writer;
        this.metrics = metrics;
        this.startedMillis = contact.now().monotonicMillis();
    }

    long epoch() {
        return epoch;
    }

    DispatchTimings timings() {
        return timings;
    }

    FleetView fleet() {
        return fleet.get();
    }

    LogServiceContact contact() {
        return contact;
    }

    Metrics metrics() {
        return metrics;
    }

    DurableWriter writer() {
        return writer;
    }

    /** Returns all jobs that are known, by identifier. */
    Map<String, WorkJob> jobs() {
        return jobs;
    }

    /** Returns the state of each job as it is stored. */
    Map<String, JobStatus> storedViews() {
        return storedViews;
    }

    /** Returns all agents that have reported or that runs are recorded for, by name. */
    Map<String, AgentView> agents() {
        return agents;
    }

    /** Returns when this dispatcher began, on the steady clock. */
    long startedMillis() {
        return startedMillis;
    }

    long monotonicMillis() {
        return contact.now().monotonicMillis();
    }

    long wallClockMillis() {
        return contact.now().wallClockMillis();
    }

    /**
     * Returns the view of an agent.
     *
     * <p>The dispatcher before may have granted a lease to an agent that has not reported here
     * until its own proof of the log ran out.
     */
    AgentView agent(String name) {
        return agents.computeIfAbsent(name, this::newAgent);
    }

    private AgentView newAgent(String name) {
        AgentView agent = new AgentView(name, startedMillis + timings.maxProofAgeMillis());
        UpstreamSpeed speed = storedSpeeds.get(name);
        if (speed != null) {
            agent.health().restore(speed, monotonicMillis(), wallClockMillis());
        }
        return agent;
    }

    /** Marks the speed of an upstream to be written, if the stored one no longer tells it. */
    void saveSpeed(AgentView agent) {
        UpstreamSpeed stored = storedSpeeds.get(agent.name());
        UpstreamSpeed speed = agent.health().speed(wallClockMillis());
        if (stored == null || speed.differsFrom(stored)) {
            storedSpeeds.put(agent.name(), speed);
            writer.put(JobStore.speedKey(agent.name()), () -> JobStore.encode(speed));
        }
    }

    /** Marks a job to be written, and shows its new state once that is done. */
    void saveJob(WorkJob job) {
        String id = job.submission().id();
        writer.put(JobStore.progressKey(id), () -> JobStore.encode(job.progress()));
        JobStatus view = job.status();
        writer.whenStored(() -> storedViews.computeIfPresent(id, (k, old) -> view));
    }

    /** Drops the speeds of upstreams that are long gone. */
    void removeOldSpeeds() {
        long before = wallClockMillis() - KEEP_SPEED_MILLIS;
        for (Map.Entry<String, UpstreamSpeed> kept : List.copyOf(storedSpeeds.entrySet())) {
            if (kept.getValue().learnedAtMillis() < before) {
                storedSpeeds.remove(kept.getKey());
                writer.put(JobStore.speedKey(kept.getKey()), () -> new byte[0]);
            }
        }
    }

    /** Takes up the runs that are recorded in the jobs that were read back. */
    void restoreRuns() {
        for (WorkJob job : jobs.values()) {
            storedViews.put(job.submission().id(), job.status());
            for (TaskKey key : job.assignedTasks()) {
                TaskRecord task = job.task(key);
                AssignedRun run =
                        new AssignedRun(
                                key,
                                task.run(),
                                task.placement().boot(),
                                stepOf(job, key).reservedResources(),
                                false);
                run.markStored();
                if (job.phase().ended()) {
                    run.requestStop();
                }
                agent(task.placement().agent()).runs().put(key.toString(), run);
            }
        }
    }

    /** Marks all runs of a kind to be stopped; their agents are told with the next orders. */
    void requestStops(Predicate<AssignedRun> which) {
        for (AgentView agent : agents.values()) {
            for (AssignedRun run : agent.runs().values()) {
                if (which.test(run)) {
                    run.requestStop();
                }
            }
        }
    }

    /** Names what ends together with a task. */
    String gangOrTaskId(TaskKey task) {
        WorkJob job = jobs.get(task.job());
        return job == null ? task.toString() : SchedulerInput.gangOrTaskId(task, stepOf(job, task));
    }

    /** Returns the step of a task. */
    static StepSpec stepOf(WorkJob job, TaskKey task) {
        return job.submission().work().steps().get(task.step());
    }

    /** Returns the tasks that end together with a task: its gang, or itself. */
    static List<TaskKey> gangMembers(WorkJob job, TaskKey task) {
        StepSpec spec = stepOf(job, task);
        if (!spec.gang()) {
            return List.of(task);
        }
        List<TaskKey> members = new ArrayList<>();
        for (int i = 0; i < spec.count(); i++) {
            members.add(new TaskKey(task.job(), task.occurrence(), task.step(), i));
        }
        return members;
    }
}
