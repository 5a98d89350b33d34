package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import org.fescueloom.json.Json;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Measures what large jobs cost; {@code docs/CAPACITY.md} holds the figures. */
@Tag("benchmark")
class LargeJobMeasurementsTest {
    /** A dispatcher that answers nothing for longer is suspected. */
    private static final long SUSPICION_MILLIS = 1_400;

    private static final int WARM_UP_ROUNDS = 30;
    private static final int MEASURED_ROUNDS = 100;
    private static final long STEP_MILLIS = 10;

    private static Submission jobOfSteps(String id, int count, Resources need) {
        StepSpec step = JobSamples.step(1, need, 1_000, false, false);
        WorkSpec work = new WorkSpec("payload", Collections.nCopies(count, step), 0, 0, 1);
        return new Submission(id, "queue", "customer", "service", 0, work);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 10_000})
    void roundWithWaitingSteps(int steps) {
        DispatcherBed bed = new DispatcherBed();
        FakeAgent agent = new FakeAgent("a", bed.loop());
        Dispatcher dispatcher = bed.claim();
        agent.exchange(dispatcher);
        // None of them fits, so that each round considers all that it may.
        bed.submit(dispatcher, jobOfSteps("j", steps, new Resources(33_000, 1, 0)));
        bed.loop().advance(WARM_UP_ROUNDS * Dispatcher.TICK_MILLIS);
        long start = System.nanoTime();
        bed.loop().advance(MEASURED_ROUNDS * Dispatcher.TICK_MILLIS);
        double millis = (System.nanoTime() - start) / 1e6 / MEASURED_ROUNDS;
        System.out.printf("round with %d waiting steps: %.2f ms%n", steps, millis);

        assertThat(millis).isLessThan(SUSPICION_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 2_400})
    void messagesOfAWideJob(int tasks) {
        DispatcherBed bed = new DispatcherBed();
        FakeAgent agent = new FakeAgent("0123456789ab", bed.loop());
        Dispatcher dispatcher = bed.claim();
        agent.exchange(dispatcher);
        StepSpec step = JobSamples.step(tasks, new Resources(1, 1, 0), 1_000, false, false);
        WorkSpec work = new WorkSpec("p".repeat(4_000), List.of(step), 0, 0, 1);
        bed.submit(
                dispatcher,
                new Submission("00000000000000a0", "queue", "customer", "service", 0, work));
        int responses = 0;
        long bytes = 0;
        while (agent.running.size() < tasks) {
            AgentOrders orders = agent.exchange(dispatcher);
            responses += orders.starts().isEmpty() ? 0 : 1;
            bytes += orders.starts().isEmpty() ? 0 : Json.write(orders).length;
        }
        System.out.printf(
                "%d starts: %d responses, %.0f bytes a start; %.0f bytes a run in a report%n",
                tasks,
                responses,
                (double) bytes / tasks,
                (double) Json.write(agent.running).length / tasks);

        assertThat(agent.running).hasSize(tasks);
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 1_200, 4_096})
    void drainOfEnds(int ends) {
        DispatcherBed bed = new DispatcherBed();
        InMemoryUpstream upstream = new InMemoryUpstream("i-1", 10_000);
        upstream.limitPages(500);
        Dispatcher dispatcher = bed.claim();
        LinkedAgent agent = new LinkedAgent("a", upstream, bed.loop(), () -> dispatcher);
        agent.start("i-1");
        bed.loop().advance(200);
        bed.submit(dispatcher, JobSamples.job("j", ends, 10_000, false, false));
        for (int i = 0; upstream.startCount() < ends; i++) {
            assertThat(i).isLessThan(1_000);
            upstream.advanceClock(STEP_MILLIS);
            bed.loop().advance(STEP_MILLIS);
        }
        upstream.advanceClock(10_000);
        long millis = 0;
        while (upstream.unacknowledgedEndCount() > 0) {
            upstream.advanceClock(STEP_MILLIS);
            bed.loop().advance(STEP_MILLIS);
            millis += STEP_MILLIS;
            assertThat(millis).isLessThan(12_000);
        }
        System.out.printf("%d ends: acknowledged after %d ms of simulated time%n", ends, millis);
    }
}
