package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Resources;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests jobs of many steps, of which few can run at a time. */
class ManyStepsTest {
    private static final int STEPS = 800;
    private static final int OCCURRENCES = 20;

    /** Ten of these tasks fit into the upstream of a fake agent. */
    private static final Resources NEED = new Resources(3_000, 10, 0);

    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("a", bed.loop());

    private static Submission job(String id, List<StepSpec> steps, int occurrences) {
        return new Submission(
                id,
                "queue",
                "customer",
                "service",
                0,
                new WorkSpec("payload", steps, 1, 0, occurrences));
    }

    private static StepSpec step(Resources need, String requiredLabel) {
        return new StepSpec(
                1,
                need,
                1_000,
                List.of(),
                false,
                false,
                requiredLabel,
                "",
                0,
                false,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    private void endAll() {
        while (!agent.running.isEmpty()) {
            agent.end(RunEnd.DONE);
        }
    }

    @Nested
    class ARound {
        // Guards against the review's case 9: each round computed the critical path of all steps
        // for each step of each due occurrence, and other entries took the dispatcher for dead.
        @Test
        void considersABoundedNumberOfSteps() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            bed.submit(
                    dispatcher,
                    job("large", Collections.nCopies(STEPS, step(NEED, "")), OCCURRENCES));
            for (int i = 0; i < 20; i++) {
                agent.exchange(dispatcher);
                endAll();
            }

            assertThat(bed.metrics().registry().histogram("dispatcher.round-units").getSnapshot())
                    .satisfies(
                            units -> {
                                assertThat(units.getMax()).isPositive();
                                assertThat(units.getMax()).isLessThanOrEqualTo(512);
                            });
        }

        // Guards against one customer's large job that holds up the others.
        @Test
        void startsASmallJobBesideALargeOne() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            bed.submit(
                    dispatcher,
                    job("large", Collections.nCopies(STEPS, step(NEED, "")), OCCURRENCES));
            bed.submit(dispatcher, JobSamples.singleTask("small"));
            for (int i = 0; i < 20; i++) {
                agent.exchange(dispatcher);
                endAll();
            }

            assertThat(bed.jobStatus(dispatcher, "small")).isEqualTo(JobStatus.SUCCEEDED);
        }
    }

    @Nested
    class ALargeJob {
        @Test
        void usesTheRoomThatThereIs() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            bed.submit(dispatcher, job("large", Collections.nCopies(STEPS, step(NEED, "")), 1));
            Set<String> started = new HashSet<>();
            // One exchange reports ends, the next one brings orders.
            for (int i = 0; i < 2 * STEPS / 10; i++) {
                agent.exchange(dispatcher);
                agent.running.forEach(run -> started.add(run.task()));
                assertThat(agent.running.size()).isLessThanOrEqualTo(10);
                endAll();
            }
            agent.exchange(dispatcher);

            assertThat(started).hasSize(STEPS);
            assertThat(bed.jobStatus(dispatcher, "large")).isEqualTo(JobStatus.SUCCEEDED);
        }

        // A round that leaves out steps is followed by others while it starts most of what it sees.
        @Test
        void startsAtOnceWhatHasRoom() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            Resources tiny = new Resources(1, 1, 0);
            bed.submit(dispatcher, job("large", Collections.nCopies(STEPS, step(tiny, "")), 10));
            for (int i = 0; i < 10; i++) {
                agent.exchange(dispatcher);
            }

            assertThat(agent.running).hasSize(AgentView.MAX_RUNS);
        }

        // Steps that fit nowhere must not hold up those behind them for longer than the 3 s after
        // which a job with a turn and room counts as lost.
        @Test
        void startsStepsBehindManyThatFitNowhere() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            StepSpec[] steps = new StepSpec[4 * STEPS];
            Arrays.fill(steps, step(NEED, "nowhere"));
            steps[steps.length - 1] = step(NEED, "");
            bed.submit(dispatcher, job("large", List.of(steps), 1));
            agent.exchange(dispatcher);
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
        }
    }
}
