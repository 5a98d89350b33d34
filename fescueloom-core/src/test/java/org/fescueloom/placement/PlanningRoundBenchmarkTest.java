package org.fescueloom.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Runs the benchmark of a planning round in the test process, for different values of each of its
 * three sizes.
 */
@Tag("benchmark")
class PlanningRoundBenchmarkTest {
    /** The longest acceptable mean duration of a planning round at the design size. */
    private static final double TARGET_MILLIS = 50.0;

    /**
     * Runs the benchmark with different values of one size and returns the longest mean duration,
     * in milliseconds.
     */
    private static double run(String size, String... values) throws RunnerException {
        ChainedOptionsBuilder options =
                new OptionsBuilder()
                        .include(PlanningRoundBenchmark.class.getName() + ".round")
                        .forks(0)
                        .warmupIterations(3)
                        .warmupTime(TimeValue.seconds(2))
                        .measurementIterations(3)
                        .measurementTime(TimeValue.seconds(2))
                        .param(size, values);
        return new Runner(options.build())
                .run().stream()
                        .mapToDouble(r -> r.getPrimaryResult().getScore())
                        .max()
                        .orElseThrow();
    }

    @Test
    void roundAtDesignSizeTakesAtMostTheTarget() throws RunnerException {
        assertThat(run("workers", "510")).isLessThanOrEqualTo(TARGET_MILLIS);
    }

    @Test
    void measuresSmallerAndLargerSizes() throws RunnerException {
        run("workers", "255", "1020");
        run("tasks", "1200", "3600");
        run("waiting", "185", "740");
    }
}
