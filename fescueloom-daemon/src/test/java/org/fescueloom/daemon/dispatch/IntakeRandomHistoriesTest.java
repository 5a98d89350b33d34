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
 * Plays random histories of entries that store jobs and cancellations, of dispatchers that replace
 * each other without notice, and of a log that refuses, loses answers, executes late and forgets.
 */
class IntakeRandomHistoriesTest {
    /** More of them, from another seed, are played by hand: -Dhistories.count, -Dhistories.seed. */
    private static final int HISTORIES = Integer.getInteger("histories.count", 200);

    private static final long FIRST_SEED = Long.getLong("histories.seed", 0);
    private static final int STEPS = 80;
    private static final DispatchTimings TERMS = new DispatchTimings(7_000, 6_000, 1_800, 900_000);
    private static final QueuePolicy QUEUE =
            new QueuePolicy("queue", "host", "/q/", "service", 1, 2, 3.0, 1_000, false, false);
    private static final FleetView FLEET =
            new FleetView(new FleetConfiguration(1, List.of(QUEUE), List.of()), Set.of(), 0);

    /** Plays one history and remembers what callers were told. */
    private static final class History {
        private final Random random;
        private final MemoryKeyedLog log = new MemoryKeyedLog();
        private final ManualScheduler loop = new ManualScheduler();
        private final FakeAgent agent = new FakeAgent("a", loop);
        private final List<Dispatcher> replaced = new ArrayList<>();
        private final List<String> ids = new ArrayList<>();
        private final Set<String> accepted = new HashSet<>();
        private final Set<String> cancelled = new HashSet<>();
        private final Set<String> neverSent = new HashSet<>();
        private final Map<String, String> firstCustomer = new HashMap<>();
        private final Map<String, Integer> starts = new HashMap<>();
        private Dispatcher dispatcher;

        History(long seed) {
            random = new Random(seed);
            dispatcher = claim();
        }

        private Dispatcher claim() {
            ClaimAttempt attempt =
                    new ClaimAttempt(log, new DispatchClaim("here", "p"), loop.logServiceContact());
            int end = log.records(JobStore.TOPIC).size();
            Dispatcher claimed =
                    new Dispatcher(
                            ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join())
                                    .start(),
                            TERMS,
                            log,
                            loop,
                            loop.logServiceContact(),
                            () -> FLEET,
                            () -> List.of("here"),
                            new Metrics(),
                            () -> {});
            claimed.start();
            return claimed;
        }

        void play() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            log.runDelayedAppends();
            for (int i = 0; i < 200 && !settled(); i++) {
                work();
            }
        }

        private void step() {
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> submit("job-" + ids.size(), "customer");
                case 3 -> anyId().ifPresent(id -> submit(id, "someone else"));
                case 4 -> anyId().ifPresent(this::cancel);
                case 5 -> replaceDispatcher();
                case 6 -> log.runDelayedAppends();
                case 7 -> log.compact(IntakeRequest.TOPIC);
                case 8 -> anyId().ifPresent(this::ask);
                default -> work();
            }
            // The answer is lost, but the report keeps the leases of what runs.
            agent.report(dispatcher);
            loop.advance(random.nextInt(400));
        }

        private Optional<String> anyId() {
            return ids.isEmpty()
                    ? Optional.empty()
                    : Optional.of(ids.get(random.nextInt(ids.size())));
        }

        /** Appends as an entry does, under a random fault; tells whether it was answered. */
        private boolean store(IntakeRequest item, MemoryKeyedLog.Fault fault) {
            log.setAppendFault(fault);
            CompletableFuture<AppendOutcome> answer =
                    log.append(
                            IntakeRequest.TOPIC,
                            List.of(item.toRecord()),
                            KeyedLog.ANY_END,
                            Duration.ZERO);
            log.setAppendFault(MemoryKeyedLog.Fault.NONE);
            return !answer.isCompletedExceptionally();
        }

        private void submit(String id, String customer) {
            Submission same = JobSamples.singleTask(id);
            Submission job = new Submission(id, "queue", customer, "service", 0, same.work());
            MemoryKeyedLog.Fault[] faults = MemoryKeyedLog.Fault.values();
            MemoryKeyedLog.Fault fault = faults[random.nextInt(faults.length)];
            if (!ids.contains(id)) {
                ids.add(id);
                neverSent.add(id);
            }
            if (fault != MemoryKeyedLog.Fault.REFUSED) {
                neverSent.remove(id);
            }
            if (store(IntakeRequest.of(job), fault)) {
                accepted.add(id);
            }
        }

        private void cancel(String id) {
            if (store(IntakeRequest.cancellation(id), MemoryKeyedLog.Fault.NONE)) {
                cancelled.add(id);
            }
            loop.advance(50);
            starts.putIfAbsent(id + " when cancelled", startsOf(id));
        }

        private void replaceDispatcher() {
            if (random.nextBoolean()) {
                dispatcher.close();
            } else {
                replaced.add(dispatcher);
            }
            dispatcher = claim();
        }

        private JobStatus view(Dispatcher asked, String id) {
            CompletableFuture<JobStatus> view = asked.view(id);
            loop.advance(0);
            return view.isCompletedExceptionally() ? null : view.getNow(null);
        }

        /** Asks any dispatcher, also one that does not know that it was replaced. */
        private void ask(String id) {
            List<Dispatcher> all = new ArrayList<>(replaced);
            all.add(dispatcher);
            Dispatcher asked = all.get(random.nextInt(all.size()));
            boolean stored = accepted.contains(id);

            JobStatus view = view(asked, id);

            if (stored) {
                assertThat(view).as(id).isNotEqualTo(JobStatus.UNKNOWN);
            }
        }

        private void work() {
            exchange();
            if (!agent.running.isEmpty()) {
                agent.end(RunEnd.DONE);
                exchange();
            }
        }

        private void exchange() {
            agent.exchange(dispatcher);
            for (RunStatus row : agent.running) {
                firstCustomer.putIfAbsent(row.task(), customerOf(row.task()));
                starts.put(row.task() + "#" + row.run(), 1);
            }
        }

        private String customerOf(String task) {
            String id = task.substring(0, task.indexOf('.'));
            return JobStore.load(log).join().jobs().get(id).submission().customer();
        }

        private int startsOf(String id) {
            return (int) starts.keySet().stream().filter(key -> key.startsWith(id + ".")).count();
        }

        private boolean settled() {
            return accepted.stream().allMatch(id -> ended(view(dispatcher, id)));
        }

        private static boolean ended(JobStatus view) {
            return view == JobStatus.SUCCEEDED || view == JobStatus.CANCELLED;
        }

        void check() {
            JobStore.StoredState kept = JobStore.load(log).join();
            for (String id : ids) {
                JobStatus view = view(dispatcher, id);
                if (accepted.contains(id)) {
                    assertThat(view)
                            .as("%s, cancelled: %s", id, cancelled.contains(id))
                            .isIn(JobStatus.SUCCEEDED, JobStatus.CANCELLED);
                }
                if (accepted.contains(id) && !cancelled.contains(id)) {
                    assertThat(view).as(id).isEqualTo(JobStatus.SUCCEEDED);
                }
                if (neverSent.contains(id)) {
                    assertThat(view).as("refused: " + id).isEqualTo(JobStatus.UNKNOWN);
                }
                assertThat(startsOf(id)).as("starts of %s", id).isLessThanOrEqualTo(1);
                Integer whenCancelled = starts.get(id + " when cancelled");
                if (cancelled.contains(id)) {
                    assertThat(startsOf(id)).as("starts of " + id).isEqualTo(whenCancelled);
                }
            }
            firstCustomer.forEach(
                    (task, customer) -> {
                        String id = task.substring(0, task.indexOf('.'));
                        assertThat(kept.jobs().get(id).submission().customer())
                                .as("the customer of " + id)
                                .isEqualTo(customer);
                    });
        }
    }

    /** Guards against incident 24: jobs were lost when the process that accepts them changed. */
    @Test
    void keepEveryPromiseToCallers() {
        int jobs = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            History history = new History(seed);
            try {
                history.play();
                history.check();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed, e);
            }
            jobs += history.accepted.size();
        }

        assertThat(jobs).isGreaterThan(HISTORIES);
    }
}
