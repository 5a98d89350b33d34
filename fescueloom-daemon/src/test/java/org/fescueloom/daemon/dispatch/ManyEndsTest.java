package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.work.JobStatus;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests runs whose ends an upstream lists in several pages. */
class ManyEndsTest {
    private static final int PAGE = 500;
    private static final int TASKS = 1_200;
    private static final long RUN_MILLIS = 12_000;
    private static final long STEP_MILLIS = 10;

    private final DispatcherBed bed = new DispatcherBed();
    private final InMemoryUpstream upstream = new InMemoryUpstream("i-1", RUN_MILLIS);
    private Dispatcher dispatcher;
    private LinkedAgent agent;

    private LinkedAgent startAgent() {
        LinkedAgent started = new LinkedAgent("a", upstream, bed.loop(), () -> dispatcher);
        started.start("i-1");
        return started;
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            upstream.advanceClock(STEP_MILLIS);
            bed.loop().advance(STEP_MILLIS);
        }
    }

    /** Starts all tasks of a job, and lets them end while no dispatcher receives reports. */
    private void endAllTasksBesideADeadDispatcher(int tasks) {
        upstream.limitPages(PAGE);
        dispatcher = bed.claim();
        agent = startAgent();
        advance(200);
        bed.submit(dispatcher, JobSamples.job("j", tasks, RUN_MILLIS, false, false));
        advance(3_000);
        assertThat(upstream.startCount()).isEqualTo(tasks);
        advance(RUN_MILLIS - 4_500);
        dispatcher.close();
        dispatcher = null;
        advance(2_000);
        assertThat(upstream.unacknowledgedEndCount()).isEqualTo(tasks);
    }

    @Nested
    class BehindTheFirstPage {
        // Guards against the review's case 6: a new dispatcher took the first page of ends for all
        // of them, and started tasks again whose ends it had not seen.
        @Test
        void countForANewDispatcher() {
            endAllTasksBesideADeadDispatcher(TASKS);
            dispatcher = bed.claim();
            advance(4_000);

            assertThat(upstream.startCount()).isEqualTo(TASKS);
            assertThat(bed.jobStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }

        // Guards against the review's case 6 with an agent that dies at the same time.
        @Test
        void countForANewDispatcherAndANewAgent() {
            endAllTasksBesideADeadDispatcher(TASKS);
            agent.close();
            dispatcher = bed.claim();
            startAgent();
            advance(4_000);

            assertThat(upstream.startCount()).isEqualTo(TASKS);
            assertThat(bed.jobStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }
    }

    @Nested
    class ARunThatIsStopped {
        private List<StopOrder> barredAfterStop() {
            upstream.limitPages(PAGE);
            dispatcher = bed.claim();
            agent = startAgent();
            advance(200);
            bed.submit(dispatcher, JobSamples.job("j", TASKS, RUN_MILLIS, false, false));
            advance(3_000);
            dispatcher = null;
            String lastTask = upstream.runningTasks().get(TASKS - 1);
            upstream.advanceClock(RUN_MILLIS);
            // The first answer to a poll lists 500 of the ends.
            bed.loop().advance(2_000);
            assertThat(agent.link().lists(lastTask, 1)).isFalse();
            agent.link()
                    .applyOrders(
                            new AgentOrders(
                                    agent.link().epoch(),
                                    0,
                                    "i-1@1",
                                    0,
                                    List.of(),
                                    List.of(new StopOrder(lastTask, 1, "i-1@1")),
                                    true,
                                    List.of()),
                            agent.link().notice(),
                            0);
            bed.loop().advance(2_000);
            return agent.link().report("a", "p", 1, 0).barred();
        }

        // Guards against the review's case 6 on the path of preemption, draining and cancellation:
        // a stopped run that had ended counted as one that never was.
        @Test
        void isNotBarredWhileItsEndMayBeListedLater() {
            assertThat(barredAfterStop()).isEmpty();
        }
    }

    @Nested
    class ALongList {
        private static final int LARGEST_STEP = 4_096;

        // The restart time that the pages give after a disruption.
        private static final long RECOVERY_MILLIS = 12_000;

        // Guards against ends that are acknowledged a page a second.
        @Test
        void isAcknowledgedSoonAfterATakeover() {
            endAllTasksBesideADeadDispatcher(LARGEST_STEP);
            dispatcher = bed.claim();
            advance(RECOVERY_MILLIS);

            assertThat(upstream.unacknowledgedEndCount()).isZero();
            assertThat(upstream.startCount()).isEqualTo(LARGEST_STEP);
        }
    }
}
