package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CheckpointPaceTest {
    private static final long INTERVAL_MILLIS = 1_000;

    /** How often an agent observes its upstream. */
    private static final long POLL_MILLIS = 1_020;

    private final CheckpointPace pace = new CheckpointPace();

    /** Observes a run of the given slowness for a time, and returns the measured paces. */
    private static List<Double> observe(
            CheckpointPace pace, double slowness, long firstPollMillis, long millis) {
        List<Double> paces = new ArrayList<>();
        for (long now = firstPollMillis; now < millis; now += POLL_MILLIS) {
            long checkpoint = (long) (now / (INTERVAL_MILLIS * slowness));
            OptionalDouble measured =
                    pace.observe(checkpoint == 0 ? "" : "c" + checkpoint, now, INTERVAL_MILLIS);
            measured.ifPresent(paces::add);
        }
        return paces;
    }

    @Property(tries = 200, seed = "41")
    void isTheSlownessOfASlowUpstream(
            @ForAll @DoubleRange(min = 1.5, max = 4) double slowness,
            @ForAll @IntRange(max = 1_000) int firstPollMillis) {
        List<Double> paces = observe(new CheckpointPace(), slowness, firstPollMillis, 60_000);

        assertThat(paces).isNotEmpty();
        double mean = paces.stream().mapToDouble(p -> p).average().orElseThrow();
        assertThat(mean).isCloseTo(slowness, within(0.1 * slowness));
        assertThat(paces).allMatch(p -> p > 1.2);
    }

    @Property(tries = 200, seed = "43")
    void isAboutOneOnAnAverageOrFastUpstream(
            @ForAll @DoubleRange(min = 0.4, max = 1) double slowness,
            @ForAll @IntRange(max = 1_000) int firstPollMillis) {
        List<Double> paces = observe(new CheckpointPace(), slowness, firstPollMillis, 60_000);

        assertThat(paces).isNotEmpty().allMatch(p -> p < 1.2);
    }

    @Test
    void isKnownWithinFiveSecondsOfTheStart() {
        assertThat(observe(pace, 1.0, 0, 5_200)).isNotEmpty();
        assertThat(pace.measured()).isTrue();
    }

    @Test
    void isNotMeasuredAcrossAGap() {
        observe(pace, 1.0, 0, 2_100);
        OptionalDouble afterGap = pace.observe("c9", 9_000, INTERVAL_MILLIS);

        assertThat(afterGap).isEmpty();
        assertThat(pace.measured()).isFalse();
    }

    @Test
    void isNotMeasuredWithoutCheckpoints() {
        for (long now = 0; now < 10_000; now += POLL_MILLIS) {
            assertThat(pace.observe("", now, INTERVAL_MILLIS)).isEmpty();
        }
    }
}
