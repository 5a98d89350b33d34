package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what the dispatcher learns from ended runs, and keeps for the next dispatcher. */
class RunLengthLearnerTest {
    /** Far below the length of the runs. */
    private static final long ESTIMATE_MILLIS = 500;

    private static final DispatchTimings LEARNING =
            new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000, true);

    /** More ends than the learned lengths need to be used; old ends count less. */
    private static final int LONG_TASKS = 12;

    /** The exchanges of a run, of 1.2 s each: about 20 s. */
    private static final int EXCHANGES_OF_RUN = 16;

    /** Longer than the time after which a run is overdue by its estimate: 10.5 s. */
    private static final int EXCHANGES_OVERDUE = 12;

    private DispatcherBed bed = new DispatcherBed(1, LEARNING);
    private FakeAgent agent = new FakeAgent("a", bed.loop());

    private void use(DispatchTimings timings) {
        bed = new DispatcherBed(1, timings);
        agent = new FakeAgent("a", bed.loop());
    }

    private Submission job(String id, int tasks, boolean gang, boolean checkpoints) {
        WorkSpec work = JobSamples.job(id, tasks, ESTIMATE_MILLIS, gang, checkpoints).work();
        long now = bed.loop().logServiceContact().now().wallClockMillis();
        return new Submission(id, "queue", "customer", "service", now, work);
    }

    /** Exchanges reports, and returns the orders to stop runs. */
    private List<StopOrder> exchange(Dispatcher dispatcher, int times) {
        List<StopOrder> stops = List.of();
        for (int i = 0; i < times; i++) {
            AgentOrders orders = agent.exchange(dispatcher);
            stops = orders.stops().isEmpty() ? stops : orders.stops();
        }
        return stops;
    }

    /** Runs tasks to their end, each of which takes much longer than its estimate. */
    private void runLongTasks(Dispatcher dispatcher) {
        agent.accelerators = LONG_TASKS;
        agent.exchange(dispatcher);
        bed.submit(dispatcher, job("first", LONG_TASKS, false, false));
        exchange(dispatcher, 2);
        assertThat(agent.running).hasSize(LONG_TASKS);
        // Runs that work on are asked to stop by their estimates, and end by themselves.
        exchange(dispatcher, EXCHANGES_OF_RUN);
        while (!agent.running.isEmpty()) {
            agent.end(RunEnd.DONE);
        }
        exchange(dispatcher, 6);
    }

    private long stops(String reason) {
        return bed.metrics().registry().counter("tasks.stopped." + reason).getCount();
    }

    private Object gauge(String name) {
        return bed.metrics().registry().getGauges().get(name).getValue();
    }

    @Nested
    class LongRunsWithLowEstimates {
        // Guards against work that is thrown away because a caller's estimate is a tenth of the run
        // time, although all runs of the kind take as long.
        @Test
        void areNotStoppedOnceTheirLengthIsLearned() {
            Dispatcher dispatcher = bed.claim();
            runLongTasks(dispatcher);
            long stopsBefore = stops("overdue");
            bed.submit(dispatcher, job("second", 1, false, false));
            exchange(dispatcher, EXCHANGES_OVERDUE);

            assertThat(agent.running).hasSize(1);
            assertThat(stops("overdue")).isEqualTo(stopsBefore);
        }

        @Test
        void areStoppedByTheirEstimatesWithoutEvidence() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            bed.submit(dispatcher, job("first", 1, false, false));
            exchange(dispatcher, EXCHANGES_OVERDUE);

            assertThat(stops("overdue")).isEqualTo(1);
        }

        @Test
        void areStoppedByTheirEstimatesIfNothingIsLearned() {
            use(DispatcherBed.TIMINGS);
            Dispatcher dispatcher = bed.claim();
            runLongTasks(dispatcher);
            long stopsBefore = stops("overdue");
            bed.submit(dispatcher, job("second", 1, false, false));
            exchange(dispatcher, EXCHANGES_OVERDUE);

            assertThat(stops("overdue")).isEqualTo(stopsBefore + 1);
            assertThat(bed.newestKeys(JobStore.LOG)).doesNotContain(JobStore.RUN_LENGTHS_KEY);
        }

        // Guards against a run that stands still and is never given up.
        @Test
        void areStoppedOnceTheyTakeLongerThanAllOthers() {
            Dispatcher dispatcher = bed.claim();
            runLongTasks(dispatcher);
            long stopsBefore = stops("overdue");
            bed.submit(dispatcher, job("second", 1, false, false));
            exchange(dispatcher, 40 * EXCHANGES_OF_RUN);

            assertThat(stops("overdue")).isGreaterThan(stopsBefore);
        }
    }

    @Nested
    class TheNextDispatcher {
        @Test
        void knowsWhatTheOneBeforeHasLearned() {
            runLongTasks(bed.claim());
            assertThat(bed.newestKeys(JobStore.LOG)).contains(JobStore.RUN_LENGTHS_KEY);
            Dispatcher next = bed.claim();
            long stopsBefore = stops("overdue");
            exchange(next, 3);
            bed.submit(next, job("second", 1, false, false));
            exchange(next, EXCHANGES_OVERDUE);

            assertThat(gauge("run-lengths.kinds")).isEqualTo(1);
            assertThat(stops("overdue")).isEqualTo(stopsBefore);
        }

        // Guards against an entry that cannot dispatch because a record of run lengths is damaged
        // or of a newer version.
        @Test
        void decidesByEstimatesIfTheRecordCannotBeRead() {
            for (String record : List.of("{", "{\"version\":99}", "[]", "null")) {
                use(LEARNING);
                bed.log()
                        .append(
                                JobStore.LOG,
                                List.of(
                                        new KeyedRecord(
                                                JobStore.RUN_LENGTHS_KEY,
                                                record.getBytes(StandardCharsets.UTF_8))),
                                KeyedLog.ANY_END,
                                Duration.ofSeconds(1));
                Dispatcher dispatcher = bed.claim();
                agent.exchange(dispatcher);
                bed.submit(dispatcher, job("first", 1, false, false));
                exchange(dispatcher, 2);

                assertThat(agent.running).hasSize(1);
                assertThat(gauge("run-lengths.kinds")).isEqualTo(0);
            }
        }
    }

    @Nested
    class Gangs {
        // Guards against a wide gang that counts as the evidence of many ends.
        @Test
        void countAsOneEnd() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            bed.submit(dispatcher, job("gang", 8, true, false));
            exchange(dispatcher, 3);
            assertThat(agent.running).hasSize(8);
            while (!agent.running.isEmpty()) {
                agent.end(RunEnd.DONE);
            }
            exchange(dispatcher, 6);
            bed.submit(dispatcher, job("second", 1, true, false));
            exchange(dispatcher, EXCHANGES_OVERDUE);

            assertThat(gauge("run-lengths.kinds")).isEqualTo(1);
            assertThat(stops("overdue")).isEqualTo(1);
        }
    }
}
