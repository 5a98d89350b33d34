package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.junit.jupiter.api.Test;

/**
 * Runs random histories: entries store jobs and cancellations, dispatchers replace each other
 * without notice, and the log refuses calls, loses responses, executes appends late, is compacted,
 * and leaves calls to a partition of the intake without a response.
 */
class IntakeRandomHistoriesTest {
    /**
     * Number of histories. -Dhistories.count and -Dhistories.seed run more of them, from another
     * seed.
     */
    private static final int HISTORIES = Integer.getInteger("histories.count", 200);

    private static final long FIRST_SEED = Long.getLong("histories.seed", 0);
    private static final int STEPS = 80;
    private static final int INTAKE_PARTITIONS = 3;
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, 900_000, 1_000);
    private static final QueuePolicy QUEUE =
            new QueuePolicy("queue", "host", "/q/", "service", 1, 2, 3.0, 1_000, false, false);
    private static final FleetView FLEET =
            new FleetView(new FleetConfiguration(1, List.of(QUEUE), List.of()), Set.of(), 0);

    /** Runs one history, and records the responses that callers received. */
    private static final class History {
        private final Random random;
        private final MemoryKeyedLog log = new MemoryKeyedLog();
        private final ManualScheduler loop = new ManualScheduler();
        private final FakeAgent agent = new FakeAgent("a", loop);

        /** The dispatchers that were replaced without being closed. */
        private final List<Dispatcher> possiblyUnawareDispatchers = new ArrayList<>();

        private final List<String> ids = new ArrayList<>();

        /** The jobs of which a submission was stored with a response. */
        private final Set<String> accepted = new HashSet<>();

        /** The jobs of which a cancellation was stored with a response. */
        private final Set<String> cancelled = new HashSet<>();

        /** The jobs of which every submission was refused. */
        private final Set<String> onlyRefused = new HashSet<>();

        /** The customer of the job of each task when the task was first seen running. */
        private final Map<String, String> firstCustomer = new HashMap<>();

        /**
         * The value 1 for each run that was started, by task and run number, and the number of
         * started runs of each cancelled job shortly after its first cancellation, by job ID and
         * the text " when cancelled".
         */
        private final Map<String, Integer> startedRuns = new HashMap<>();

        private Dispatcher dispatcher;

        History(long seed) {
            random = new Random(seed);
            dispatcher = claimAndStart();
        }

        private Dispatcher claimAndStart() {
            ClaimAttempt attempt =
                    new ClaimAttempt(log, new DispatchClaim("here", "p"), loop.logServiceContact());
            int end = log.records(JobStore.LOG).size();
            Dispatcher newDispatcher =
                    new Dispatcher(
                            ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join())
                                    .initialState(),
                            TIMINGS,
                            new LogAccess(log, INTAKE_PARTITIONS),
                            loop,
                            loop.logServiceContact(),
                            () -> FLEET,
                            () -> List.of("here"),
                            new Metrics(),
                            () -> {});
            newDispatcher.start();
            return newDispatcher;
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            setSilentPartition(-1);
            log.runDelayedAppends();
            // The followers read the partitions that were silent.
            loop.advance(2_000);
            for (int i = 0; i < 200 && !allAcceptedJobsEnded(); i++) {
                completeOneRun();
            }
        }

        private void step() {
            switch (random.nextInt(11)) {
                case 0, 1, 2 -> submit("job-" + ids.size(), "customer");
                case 3 -> anyId().ifPresent(id -> submit(id, "someone else"));
                case 4 -> anyId().ifPresent(this::cancel);
                case 5 -> replaceDispatcher();
                case 6 -> log.runDelayedAppends();
                case 7 -> log.compact(anyPartition());
                // No partition is silent if the number is that of the partitions.
                case 8 -> setSilentPartition(random.nextInt(INTAKE_PARTITIONS + 1));
                case 9 -> anyId().ifPresent(this::query);
                default -> completeOneRun();
            }
            // The response is discarded, as if it had been lost, but the report keeps the leases
            // of the runs.
            agent.report(dispatcher);
            loop.advance(random.nextInt(400));
        }

        private LogPartition anyPartition() {
            return IntakeRequest.partition(random.nextInt(INTAKE_PARTITIONS));
        }

        /** Lets only the partition with the given number be silent. */
        private void setSilentPartition(int number) {
            for (int i = 0; i < INTAKE_PARTITIONS; i++) {
                log.setSilent(IntakeRequest.partition(i), i == number);
            }
        }

        private Optional<String> anyId() {
            return ids.isEmpty()
                    ? Optional.empty()
                    : Optional.of(ids.get(random.nextInt(ids.size())));
        }

        /**
         * Appends a request as an entry does.
         *
         * @param fault the fault of the append
         * @return whether the append got a response
         */
        private boolean store(IntakeRequest request, MemoryKeyedLog.Fault fault) {
            log.setAppendFault(fault);
            CompletableFuture<AppendOutcome> response =
                    log.append(
                            anyPartition(),
                            List.of(request.toRecord()),
                            KeyedLog.ANY_END,
                            Duration.ZERO);
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            return !response.isCompletedExceptionally();
        }

        private void submit(String id, String customer) {
            Submission sample = JobSamples.singleTask(id);
            Submission job = new Submission(id, "queue", customer, "service", 0, sample.work());
            MemoryKeyedLog.Fault[] faults = MemoryKeyedLog.Fault.values();
            MemoryKeyedLog.Fault fault = faults[random.nextInt(faults.length)];
            if (!ids.contains(id)) {
                ids.add(id);
                onlyRefused.add(id);
            }
            if (fault != MemoryKeyedLog.Fault.REFUSED) {
                onlyRefused.remove(id);
            }
            if (store(IntakeRequest.of(job), fault)) {
                accepted.add(id);
            }
        }

        private void cancel(String id) {
            if (store(IntakeRequest.cancellation(id), MemoryKeyedLog.Fault.NONE)) {
                cancelled.add(id);
                loop.advance(50);
                startedRuns.putIfAbsent(id + " when cancelled", startCount(id));
            }
        }

        private void replaceDispatcher() {
            if (random.nextBoolean()) {
                dispatcher.close();
            } else {
                possiblyUnawareDispatchers.add(dispatcher);
            }
            dispatcher = claimAndStart();
        }

        /** Returns the state of a job; null if the query has failed or has no response yet. */
        private JobStatus queryStatus(Dispatcher queried, String id) {
            CompletableFuture<JobStatus> status = queried.status(id);
            loop.advance(0);
            return status.isCompletedExceptionally() ? null : status.getNow(null);
        }

        /** Queries a random dispatcher, which may not know yet that it was replaced. */
        private void query(String id) {
            List<Dispatcher> all = new ArrayList<>(possiblyUnawareDispatchers);
            all.add(dispatcher);
            Dispatcher queried = all.get(random.nextInt(all.size()));
            boolean stored = accepted.contains(id);

            JobStatus status = queryStatus(queried, id);

            if (stored) {
                assertThat(status).as(id).isNotEqualTo(JobStatus.UNKNOWN);
            }
        }

        private void completeOneRun() {
            exchangeWithAgent();
            if (!agent.running.isEmpty()) {
                agent.end(RunEnd.DONE);
                exchangeWithAgent();
            }
        }

        private void exchangeWithAgent() {
            agent.exchange(dispatcher);
            for (RunStatus startedRun : agent.running) {
                firstCustomer.putIfAbsent(startedRun.task(), customerOf(startedRun.task()));
                startedRuns.put(startedRun.task() + "#" + startedRun.run(), 1);
            }
        }

        private String customerOf(String task) {
            String id = task.substring(0, task.indexOf('.'));
            return JobStore.load(log).join().jobs().get(id).submission().customer();
        }

        private int startCount(String id) {
            return (int)
                    startedRuns.keySet().stream().filter(key -> key.startsWith(id + ".")).count();
        }

        private boolean allAcceptedJobsEnded() {
            return accepted.stream().allMatch(id -> isEnded(queryStatus(dispatcher, id)));
        }

        private static boolean isEnded(JobStatus status) {
            return status == JobStatus.SUCCEEDED || status == JobStatus.CANCELLED;
        }

        void checkGuarantees() {
            JobStore.StoredState stored = JobStore.load(log).join();
            for (String id : ids) {
                JobStatus status = queryStatus(dispatcher, id);
                if (accepted.contains(id)) {
                    assertThat(status)
                            .as("state of %s, cancelled: %s", id, cancelled.contains(id))
                            .isIn(JobStatus.SUCCEEDED, JobStatus.CANCELLED);
                }
                if (accepted.contains(id) && !cancelled.contains(id)) {
                    assertThat(status).as(id).isEqualTo(JobStatus.SUCCEEDED);
                }
                if (onlyRefused.contains(id)) {
                    assertThat(status)
                            .as("state of a refused job: " + id)
                            .isEqualTo(JobStatus.UNKNOWN);
                }
                assertThat(startCount(id)).as("starts of %s", id).isLessThanOrEqualTo(1);
                Integer startsWhenCancelled = startedRuns.get(id + " when cancelled");
                if (cancelled.contains(id)) {
                    assertThat(startCount(id)).as("starts of " + id).isEqualTo(startsWhenCancelled);
                }
            }
            firstCustomer.forEach(
                    (task, customer) -> {
                        String id = task.substring(0, task.indexOf('.'));
                        assertThat(stored.jobs().get(id).submission().customer())
                                .as("customer of " + id)
                                .isEqualTo(customer);
                    });
        }
    }

    /**
     * Guards against incident 24: jobs were lost when the process that accepts jobs was replaced.
     */
    @Test
    void keepTheGuaranteesToCallers() {
        int jobs = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            History history = new History(seed);
            try {
                history.run();
                history.checkGuarantees();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed, e);
            }
            jobs += history.accepted.size();
        }

        assertThat(jobs).isGreaterThan(HISTORIES);
    }
}
