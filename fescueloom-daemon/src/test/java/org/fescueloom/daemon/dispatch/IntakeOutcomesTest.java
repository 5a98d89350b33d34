package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Stores requests in partitions of which each answers, refuses, hangs, loses its responses or
 * executes appends late, and checks what the callers hear against what is stored in the end.
 */
class IntakeOutcomesTest {
    /**
     * The number of histories; -Doutcomes.count and -Doutcomes.seed run more, from another seed.
     */
    private static final int HISTORIES = Integer.getInteger("outcomes.count", 300);

    private static final long FIRST_SEED = Long.getLong("outcomes.seed", 0);
    private static final int PARTITIONS = 3;
    private static final int REQUESTS = 12;

    /** The longest time for which a caller waits. */
    private static final int MAX_WAIT_MILLIS = 3_000;

    /** The longest time until an append without a response is executed. */
    private static final int MAX_DELAY_MILLIS = 6_000;

    private final HttpClient http = new HttpClient(1, Duration.ofSeconds(1));

    /** Names what a partition does with the calls that it receives. */
    private enum Behaviour {
        ANSWERS,
        REFUSES,
        HANGS,
        LOSES_RESPONSES,
        EXECUTES_LATE,
        IS_SLOW
    }

    /** Runs one history. */
    private final class History implements KeyedLog {
        private final Random random;
        private final MemoryKeyedLog log = new MemoryKeyedLog();
        private final ManualScheduler loop = new ManualScheduler();
        private final List<Behaviour> behaviours = new ArrayList<>();
        private final IntakeWriter writer;
        private boolean operatorLogFailing;

        History(long seed) {
            random = new Random(seed);
            for (int i = 0; i < PARTITIONS; i++) {
                behaviours.add(Behaviour.ANSWERS);
            }
            writer =
                    IntakePartitionsTest.createWriter(
                            new LogAccess(this, PARTITIONS),
                            loop,
                            http,
                            () -> operatorLogFailing,
                            new Metrics());
        }

        @Override
        public CompletableFuture<AppendOutcome> append(
                LogPartition partition,
                List<KeyedRecord> records,
                long expectedEnd,
                Duration timeout) {
            CompletableFuture<AppendOutcome> response = new CompletableFuture<>();
            Runnable execution =
                    () ->
                            log.append(partition, records, expectedEnd, timeout)
                                    .thenAccept(response::complete);
            switch (behaviours.get(partition.number())) {
                case ANSWERS -> after(5, execution);
                case IS_SLOW -> after(100 + random.nextInt(400), execution);
                case REFUSES -> after(5, () -> fail(response, FailureType.LOG_UNAVAILABLE));
                case LOSES_RESPONSES -> log.append(partition, records, expectedEnd, timeout);
                case EXECUTES_LATE ->
                        after(
                                random.nextInt(MAX_DELAY_MILLIS),
                                () -> log.append(partition, records, expectedEnd, timeout));
                default -> {
                    // Neither executed nor answered.
                }
            }
            after((int) timeout.toMillis(), () -> fail(response, FailureType.LOG_UNDECIDED));
            return response;
        }

        @Override
        public CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey) {
            CompletableFuture<KeyedPage> response = new CompletableFuture<>();
            switch (behaviours.get(partition.number())) {
                case HANGS -> {
                    // Not answered.
                }
                case REFUSES -> after(5, () -> fail(response, FailureType.LOG_UNAVAILABLE));
                default -> after(5, () -> response.complete(log.newest(partition, "").join()));
            }
            return response;
        }

        @Override
        public CompletableFuture<KeyedSlice> read(
                LogPartition partition, long from, Duration wait) {
            return log.read(partition, from, wait);
        }

        private void after(int millis, Runnable work) {
            loop.schedule(work, millis, TimeUnit.MILLISECONDS);
        }

        private static void fail(CompletableFuture<?> response, FailureType type) {
            response.completeExceptionally(new SchedulerException(type, "injected by the test"));
        }

        private boolean isStored(IntakeRequest request) {
            for (int i = 0; i < PARTITIONS; i++) {
                if (log.records(IntakeRequest.partition(i)).stream()
                        .anyMatch(r -> r.key().equals(request.key()))) {
                    return true;
                }
            }
            return false;
        }

        /** Stores some requests while the partitions change what they do. */
        void run() {
            List<IntakeRequest> requests = new ArrayList<>();
            List<CompletableFuture<Void>> calls = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                Behaviour[] all = Behaviour.values();
                behaviours.set(random.nextInt(PARTITIONS), all[random.nextInt(all.length)]);
                operatorLogFailing = random.nextInt(4) == 0;
                IntakeRequest request = IntakeRequest.of(JobSamples.singleTask("job-" + i));
                requests.add(request);
                calls.add(writer.store(request, 1 + random.nextInt(MAX_WAIT_MILLIS)));
                loop.advance(random.nextInt(800));
            }
            loop.advance(MAX_WAIT_MILLIS);
            assertThat(calls).allMatch(CompletableFuture::isDone);
            List<Boolean> storedWhenTold = requests.stream().map(this::isStored).toList();
            loop.advance(MAX_DELAY_MILLIS);
            for (int i = 0; i < REQUESTS; i++) {
                check(requests.get(i), calls.get(i), storedWhenTold.get(i));
            }
        }

        private void check(
                IntakeRequest request, CompletableFuture<Void> call, boolean storedWhenTold) {
            if (!call.isCompletedExceptionally()) {
                assertThat(storedWhenTold).as("%s was accepted", request.key()).isTrue();
            } else if (outcome(call) == Outcome.NOT_RUN) {
                assertThat(isStored(request)).as("%s was refused", request.key()).isFalse();
            }
        }

        private static Outcome outcome(CompletableFuture<Void> call) {
            return call.handle((v, error) -> Failures.typeOf(error)).join().outcome();
        }
    }

    @AfterEach
    void close() {
        http.close();
    }

    /** Guards "not accepted" and "accepted" while partitions of the intake fail in any order. */
    @Test
    void agreeWithWhatIsStored() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            try {
                new History(seed).run();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }
}
