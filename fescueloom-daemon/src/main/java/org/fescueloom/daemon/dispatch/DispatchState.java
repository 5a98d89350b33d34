package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.loss.LossCause;
import org.fescueloom.schedule.UpstreamSpeed;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.TaskBlock;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/**
 * Holds the state that the components of a dispatcher share. Confined to the event loop of the
 * dispatcher.
 */
final class DispatchState {
    /** An upstream that has completed no run for a day is assumed to be gone. */
    private static final long SPEED_RETENTION_MILLIS = 86_400_000;

    /** The epoch of a claim that is the first record of the job log. */
    private static final long FIRST_EPOCH = 1;

    private final long epoch;
    private final DispatchTimings timings;
    private final Supplier<FleetView> fleet;
    private final LogServiceContact contact;
    private final Metrics metrics;
    private final DurableWriter writer;
    private final Map<String, WorkJob> jobs;
    private final Map<String, UpstreamSpeed> storedSpeeds;
    private final long startedMillis;
    private final Map<String, JobStatus> storedStatuses = new HashMap<>();
    private final Map<String, AgentView> agents = new LinkedHashMap<>();

    DispatchState(
            long epoch,
            JobStore.StoredState storedState,
            DispatchTimings timings,
            Supplier<FleetView> fleet,
            LogServiceContact contact,
            DurableWriter writer,
            Metrics metrics) {
        this.epoch = epoch;
        this.jobs = storedState.jobs();
        this.storedSpeeds = storedState.speeds();
        this.timings = timings;
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

    /** Returns all known jobs, by identifier. */
    Map<String, WorkJob> jobs() {
        return jobs;
    }

    /** Returns the stored jobs that have not ended. */
    List<WorkJob> activeJobs() {
        List<WorkJob> active = new ArrayList<>();
        for (WorkJob job : jobs.values()) {
            if (!job.phase().ended() && storedStatuses.containsKey(job.submission().id())) {
                active.add(job);
            }
        }
        return active;
    }

    /** Returns the stored status of each job, by identifier. */
    Map<String, JobStatus> storedStatuses() {
        return storedStatuses;
    }

    /** Returns all agents that have reported or have recorded runs, by name. */
    Map<String, AgentView> agents() {
        return agents;
    }

    /** Returns when this dispatcher started, on the monotonic clock. */
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
     * Returns the view of an agent, and creates it if necessary.
     *
     * <p>The previous dispatcher may grant leases until the last confirmation of its claim is older
     * than {@link DispatchTimings#maxProofAgeMillis}. A new view therefore assumes that the agent
     * was granted a lease that long after the start of this dispatcher, unless there was no
     * previous one.
     */
    AgentView agent(String name) {
        return agents.computeIfAbsent(name, this::newAgent);
    }

    private AgentView newAgent(String name) {
        long earlierGrantsMillis = epoch == FIRST_EPOCH ? 0 : timings.maxProofAgeMillis();
        AgentView agent = new AgentView(name, startedMillis + earlierGrantsMillis);
        UpstreamSpeed speed = storedSpeeds.get(name);
        if (speed != null) {
            agent.health().restore(speed, monotonicMillis(), wallClockMillis());
        }
        return agent;
    }

    /** Returns the names of the agents that have reported, or that the job log names. */
    Set<String> expectedAgents() {
        Set<String> names = new HashSet<>(storedSpeeds.keySet());
        names.addAll(agents.keySet());
        return names;
    }

    /** Queues the speed of an upstream for storage if it differs from the stored speed. */
    void saveSpeed(AgentView agent) {
        UpstreamSpeed stored = storedSpeeds.get(agent.name());
        UpstreamSpeed speed = agent.health().speed(wallClockMillis());
        if (stored == null || speed.differsFrom(stored)) {
            storedSpeeds.put(agent.name(), speed);
            writer.put(JobStore.speedKey(agent.name()), () -> JobStore.encode(speed));
        }
    }

    /**
     * Queues the progress of a job for storage, and publishes the new status of the job once the
     * progress is stored, unless the job has been removed by then.
     */
    void saveJob(WorkJob job) {
        String id = job.submission().id();
        for (TaskBlock block : job.takeChangedBlocks()) {
            writer.put(JobStore.blockKey(id, block), () -> JobStore.encode(job.tasks(block)));
        }
        writer.put(JobStore.progressKey(id), () -> JobStore.encode(job.progress()));
        Set<TaskBlock> obsolete = job.takeObsoleteBlocks();
        if (!obsolete.isEmpty()) {
            // Without the progress that makes them obsolete, the tasks would count as new.
            writer.whenStored(() -> obsolete.forEach(block -> deleteBlock(id, block)));
        }
        JobStatus status = job.status();
        writer.whenStored(() -> storedStatuses.computeIfPresent(id, (k, old) -> status));
    }

    /** Queues the deletion of the stored records of a block of tasks. */
    void deleteBlock(String jobId, TaskBlock block) {
        // The empty value is a tombstone, which deletes the key.
        writer.put(JobStore.blockKey(jobId, block), () -> new byte[0]);
    }

    /** Removes the speeds that have not been updated within the retention period. */
    void removeOldSpeeds() {
        long learnedBeforeMillis = wallClockMillis() - SPEED_RETENTION_MILLIS;
        for (Map.Entry<String, UpstreamSpeed> stored : List.copyOf(storedSpeeds.entrySet())) {
            if (stored.getValue().learnedAtMillis() < learnedBeforeMillis) {
                storedSpeeds.remove(stored.getKey());
                // The empty value is a tombstone, which deletes the key.
                writer.put(JobStore.speedKey(stored.getKey()), () -> new byte[0]);
            }
        }
    }

    /** Restores the runs that are recorded in the loaded jobs. */
    void restoreRuns() {
        for (WorkJob job : jobs.values()) {
            storedStatuses.put(job.submission().id(), job.status());
            for (TaskKey key : job.assignedTasks()) {
                TaskRecord task = job.task(key);
                AssignedRun run =
                        new AssignedRun(
                                key, task.run(), task.placement().boot(), stepOf(job, key), false);
                run.markRestored();
                if (job.phase().ended()) {
                    run.requestStop(LossCause.CANCELLED);
                }
                agent(task.placement().agent()).runs().put(key.toString(), run);
            }
        }
    }

    /**
     * Requests the stop of all runs that meet a condition. The agents receive the stop orders in
     * the next replies to their reports.
     */
    void requestStops(LossCause cause, Predicate<AssignedRun> condition) {
        for (AgentView agent : agents.values()) {
            for (AssignedRun run : agent.runs().values()) {
                if (condition.test(run)) {
                    run.requestStop(cause);
                }
            }
        }
    }

    /** Returns the priority of a job, or the least urgent one if its queue is not configured. */
    int priority(String jobId) {
        WorkJob job = jobs.get(jobId);
        return job == null || fleet().configuration() == null
                ? SchedulerInput.LOWEST_PRIORITY
                : SchedulerInput.priority(fleet(), job);
    }

    /** Returns the identifier of the gang of a task, or of the task itself if it has no gang. */
    String gangOrTaskId(TaskKey task) {
        WorkJob job = jobs.get(task.job());
        return job == null ? task.toString() : SchedulerInput.gangOrTaskId(task, stepOf(job, task));
    }

    /** Returns the step of a task. */
    static StepSpec stepOf(WorkJob job, TaskKey task) {
        return job.submission().work().steps().get(task.step());
    }

    /** Returns the tasks of the gang of a task, or only the task itself if it has no gang. */
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
