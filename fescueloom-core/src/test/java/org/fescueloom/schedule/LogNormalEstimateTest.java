package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class LogNormalEstimateTest {
    private static final double NOISE = 0.05;

    @Test
    void startsAtOne() {
        assertThat(new LogNormalEstimate(0.2).value()).isEqualTo(1.0);
    }

    @Test
    void correctsTheLessCertainEstimateMore() {
        LogNormalEstimate certain = new LogNormalEstimate(0.01);
        LogNormalEstimate uncertain = new LogNormalEstimate(0.5);

        LogNormalEstimate.observeProduct(certain, uncertain, 2.0, NOISE);

        assertThat(certain.value()).isBetween(1.0, 1.05);
        assertThat(uncertain.value()).isGreaterThan(1.8);
        assertThat(uncertain.variance()).isLessThan(0.1);
    }

    @Property(tries = 200, seed = "17")
    void convergesToTheObservedProduct(@ForAll @DoubleRange(min = 0.2, max = 5) double product) {
        LogNormalEstimate first = new LogNormalEstimate(0.2);
        LogNormalEstimate second = new LogNormalEstimate(0.5);
        for (int i = 0; i < 200; i++) {
            LogNormalEstimate.observeProduct(first, second, product, NOISE);
        }

        assertThat(first.value() * second.value()).isCloseTo(product, within(0.02 * product));
    }

    @Test
    void varianceNeverExceedsItsInitialValue() {
        LogNormalEstimate factor = new LogNormalEstimate(0.2);
        LogNormalEstimate.observeProduct(factor, new LogNormalEstimate(0.2), 1.0, NOISE);
        factor.increaseVariance(10);

        assertThat(factor.variance()).isEqualTo(0.2);
    }

    @Test
    void upperBoundLiesTheGivenDeviationsAboveTheEstimate() {
        LogNormalEstimate factor = new LogNormalEstimate(0.25);

        assertThat(factor.upperBound(2)).isCloseTo(Math.exp(1), within(1e-9));
    }
}
