package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Runs a dispatcher over a fleet of simulated agents. */
class LargeFleetTest {
    private static final int AGENTS = 32;
    private static final int AGENTS_PER_RACK = 8;
    private static final double SLOW = 1.67;
    private static final double URGENT_SLACK_FACTOR = 1.5;
    private static final FleetConfiguration CONFIGURATION =
            new FleetConfiguration(
                    1,
                    List.of(queue("urgent", 0, URGENT_SLACK_FACTOR), queue("batch", 2, 3.0)),
                    List.of());

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final Map<String, StepSpec> steps = new HashMap<>();
    private final Map<String, Long> runMillis = new HashMap<>();
    private Dispatcher dispatcher;

    private static QueuePolicy queue(String name, int priority, double slackFactor) {
        return new QueuePolicy(
                name, "host", '/' + name, "service", priority, 2, slackFactor, 0, false, false);
    }

    /** Starts a dispatcher over agents of which every second one is slow. */
    @BeforeEach
    void startFleet() {
        ClaimAttempt attempt =
                new ClaimAttempt(log, new DispatchClaim("here", "p"), loop.logServiceContact());
        ClaimAttempt.Result.Won won = (ClaimAttempt.Result.Won) attempt.run(0, epoch -> {}).join();
        FleetView view = new FleetView(CONFIGURATION, Set.of(), 0);
        dispatcher =
                new Dispatcher(
                        won.initialState(),
                        new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000),
                        new LogAccess(log, 1),
                        loop,
                        loop.logServiceContact(),
                        () -> view,
                        () -> List.of("here"),
                        new Metrics(),
                        () -> {});
        SimulatedFleet fleet = new SimulatedFleet(loop, () -> dispatcher, new Tasks());
        for (int i = 0; i < AGENTS; i++) {
            fleet.add("a" + i, "r" + i / AGENTS_PER_RACK, i % 2 == 0 ? SLOW : 1.0);
        }
        dispatcher.start();
        fleet.start();
    }

    private final class Tasks implements SimulatedFleet.TaskTimes {
        private static String job(String task) {
            return task.substring(0, task.indexOf('.'));
        }

        @Override
        public long millis(String task) {
            return runMillis.get(job(task));
        }

        @Override
        public int gangSize(String task) {
            StepSpec step = steps.get(job(task));
            return step.gang() ? step.count() : 1;
        }

        @Override
        public boolean checkpoints(String task) {
            return steps.get(job(task)).checkpoints();
        }

        @Override
        public boolean oneRack(String task) {
            return steps.get(job(task)).oneRack();
        }
    }

    private void submit(String id, String queue, StepSpec step, long millis) {
        steps.put(id, step);
        runMillis.put(id, millis);
        WorkSpec work = new WorkSpec("payload", List.of(step), 0, 0, 1);
        long now = loop.logServiceContact().now().wallClockMillis();
        Submission submission = new Submission(id, queue, "customer", "service", now, work);
        log.append(
                IntakeRequest.partition(0),
                List.of(IntakeRequest.of(submission).toRecord()),
                KeyedLog.ANY_END,
                Duration.ofSeconds(1));
    }

    private static Resources accelerators(long count) {
        return new Resources(2_000, 100, count);
    }

    private JobStatus status(String job) {
        CompletableFuture<JobStatus> status = dispatcher.status(job);
        loop.advance(0);
        return status.join();
    }

    @Nested
    class UrgentGangsAmongLongRuns {
        private static final long ESTIMATE_MILLIS = 3_000;

        /**
         * Long runs that save checkpoints show which upstreams are slow long before they end, so
         * that an urgent gang avoids them. Their estimates are wrong by half.
         */
        @Test
        void endInTimeAlthoughNoRunHasEndedYet() {
            submit(
                    "long",
                    "batch",
                    JobSamples.step(AGENTS, accelerators(1), 20_000, false, true),
                    40_000);
            loop.advance(8_000);
            submit(
                    "gang",
                    "urgent",
                    JobSamples.step(3, accelerators(6), ESTIMATE_MILLIS, true, false),
                    ESTIMATE_MILLIS);
            loop.advance((long) (URGENT_SLACK_FACTOR * ESTIMATE_MILLIS));

            assertThat(status("gang")).isEqualTo(JobStatus.SUCCEEDED);
            assertThat(status("long")).isEqualTo(JobStatus.RUNNING);
        }
    }
}
