package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.fescueloom.work.RunEnd;

/**
 * Simulates many agents and their upstreams on the clock of a {@link ManualScheduler}.
 *
 * <p>Upstreams execute start and stop orders after a delay, and runs end after the run time of
 * their task times the slowness of the upstream.
 */
final class SimulatedFleet {
    private static final long ORDER_MILLIS = 5;
    private static final long STOP_MILLIS = 200;
    private static final long CHECKPOINT_MILLIS = 1_000;
    private static final double CROSS_RACK_FACTOR = 3.0;
    private static final Resources CAPACITY = new Resources(32_000, 131_072, 8);

    private final ManualScheduler loop;
    private final Supplier<Dispatcher> dispatcher;
    private final TaskTimes taskTimes;
    private final List<Agent> agents = new ArrayList<>();

    private final Map<String, Gang> gangs = new HashMap<>();

    /** Holds one run of a gang, or of a single task. */
    private static final class Gang {
        private final List<Agent> members = new ArrayList<>();
        private long startedMillis = -1;
        private double factor;
    }

    private String gangId(String task, int run) {
        String id = taskTimes.gangSize(task) == 1 ? task : task.substring(0, task.lastIndexOf('.'));
        return id + '#' + run;
    }

    /** Describes the tasks that agents are ordered to start. */
    interface TaskTimes {
        /** Returns the run time on an upstream of average speed, in milliseconds. */
        long millis(String task);

        /** Returns the number of tasks of the gang of a task; 1 if it has no gang. */
        int gangSize(String task);

        /** Tells whether a task saves its progress each second. */
        boolean checkpoints(String task);

        /** Tells whether the run time triples outside of one rack. */
        boolean oneRack(String task);
    }

    private final class Agent {
        private final String name;
        private final String rack;
        private final double slowness;
        private final Map<String, RunStatus> running = new LinkedHashMap<>();
        private final List<EndedRun> ended = new ArrayList<>();
        private long endNumber;
        private long sequence;

        Agent(String name, String rack, double slowness) {
            this.name = name;
            this.rack = rack;
            this.slowness = slowness;
        }

        void report() {
            UpstreamNotice notice =
                    new UpstreamNotice(
                            "i-" + name,
                            1,
                            "service",
                            "zone",
                            UpstreamState.READY,
                            CAPACITY,
                            List.of("a", rack),
                            rack,
                            0,
                            sequence);
            AgentReport report =
                    new AgentReport(
                            name,
                            "p",
                            ++sequence,
                            0,
                            notice,
                            true,
                            0,
                            statuses(),
                            List.copyOf(ended),
                            true,
                            List.of());
            long sent = sequence;
            CompletableFuture<AgentOrders> reply = dispatcher.get().handleReport(report);
            reply.thenAccept(
                    orders ->
                            loop.schedule(
                                    () -> apply(orders, sent == sequence),
                                    ORDER_MILLIS,
                                    TimeUnit.MILLISECONDS));
        }

        /** Returns the runs, each with the checkpoint that it has saved last. */
        private List<RunStatus> statuses() {
            List<RunStatus> statuses = new ArrayList<>();
            for (RunStatus status : running.values()) {
                String checkpoint = taskTimes.checkpoints(status.task()) ? checkpoint(status) : "";
                statuses.add(new RunStatus(status.task(), status.run(), checkpoint, 100, 0));
            }
            return statuses;
        }

        private String checkpoint(RunStatus status) {
            Gang gang = gangs.get(gangId(status.task(), status.run()));
            double work =
                    gang.startedMillis < 0
                            ? 0
                            : (loop.nowMillis() - gang.startedMillis) / gang.factor;
            return work < CHECKPOINT_MILLIS ? "" : String.valueOf((long) work / CHECKPOINT_MILLIS);
        }

        private void apply(AgentOrders orders, boolean newest) {
            ended.removeIf(e -> e.number() <= orders.acknowledged());
            boolean started = false;
            for (StartOrder start : orders.starts()) {
                if (!running.containsKey(start.task())) {
                    running.put(start.task(), new RunStatus(start.task(), start.run(), "", 100, 0));
                    work(start);
                    started = true;
                }
            }
            for (StopOrder stop : orders.stops()) {
                loop.schedule(
                        () -> end(stop.task(), stop.run(), RunEnd.STOPPED),
                        STOP_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
            if (started || newest) {
                report();
            }
        }

        /** Ends a run after its run time; a gang works once all its tasks run. */
        private void work(StartOrder start) {
            String task = start.task();
            Gang gang = gangs.computeIfAbsent(gangId(task, start.run()), id -> new Gang());
            gang.members.add(this);
            if (gang.members.size() < taskTimes.gangSize(task)) {
                return;
            }
            gang.startedMillis = loop.nowMillis();
            for (Agent member : gang.members) {
                gang.factor = Math.max(gang.factor, member.slowness);
            }
            boolean scattered = gang.members.stream().map(m -> m.rack).distinct().count() > 1;
            if (scattered && taskTimes.oneRack(task)) {
                gang.factor *= CROSS_RACK_FACTOR;
            }
            String prefix =
                    taskTimes.gangSize(task) == 1
                            ? task
                            : task.substring(0, task.lastIndexOf('.') + 1);
            loop.schedule(
                    () -> gang.members.forEach(m -> m.endRuns(prefix, start.run())),
                    (long) (taskTimes.millis(task) * gang.factor),
                    TimeUnit.MILLISECONDS);
        }

        private void endRuns(String prefix, int run) {
            for (RunStatus status : List.copyOf(running.values())) {
                if (status.task().startsWith(prefix) && status.run() == run) {
                    end(status.task(), run, RunEnd.DONE);
                }
            }
        }

        private void end(String task, int run, RunEnd how) {
            RunStatus status = running.get(task);
            if (status != null && status.run() == run) {
                running.remove(task);
                ended.add(new EndedRun(++endNumber, task, run, how, ""));
                report();
            }
        }
    }

    /**
     * Creates a fleet whose agents have not reported.
     *
     * @param loop the clock
     * @param dispatcher returns the dispatcher to which the agents report
     * @param taskTimes tells how long tasks run
     */
    SimulatedFleet(ManualScheduler loop, Supplier<Dispatcher> dispatcher, TaskTimes taskTimes) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.taskTimes = taskTimes;
    }

    /** Adds an agent whose upstream is in a rack; a slowness of 1 is average. */
    void add(String name, String rack, double slowness) {
        agents.add(new Agent(name, rack, slowness));
    }

    /** Sends the first report of each agent. */
    void start() {
        agents.forEach(Agent::report);
    }
}
