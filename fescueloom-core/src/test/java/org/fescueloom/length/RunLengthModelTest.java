package org.fescueloom.length;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;
import static org.fescueloom.length.DrawnRuns.KIND;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunLengthModelTest {
    private static final long HOUR_MILLIS = 3_600_000;

    private static DrawnRuns runs(long seed) {
        return new DrawnRuns(new RunLengthModel(), seed);
    }

    /** Guards against quantiles that runs miss more or less often than they state. */
    @Nested
    class Quantiles {
        private static final double TOLERANCE = 0.05;

        @ParameterizedTest
        @CsvSource({"0.3, 3000", "0.5, 3000", "0.3, 300", "0.5, 300"})
        void areMetAsOftenAsStatedByWrongEstimatesAndATail(double spread, int count) {
            DrawnRuns runs = runs(11);
            double[] medians = {3_000, 11_000, 14_500, 16_000, 60_000};
            for (int i = 0; i < medians.length * count; i++) {
                int kind = i % medians.length;
                double length = runs.lengthWithTail(medians[kind], spread);
                runs.end(kind(kind), runs.estimate(length), length);
            }

            Calibration calibration = runs.model.calibration();
            // Eight ends count slightly less than 8 ends, so that the tenth is the first predicted.
            assertThat(calibration.predictedEnds()).isEqualTo((long) medians.length * count - 9);
            assertThat(calibration.shareByHalf()).isCloseTo(0.5, within(TOLERANCE));
            assertThat(calibration.shareByNineTenths()).isCloseTo(0.9, within(TOLERANCE));
        }

        private static RunKind kind(int number) {
            return new RunKind("batch", "train:" + number % 2, "c" + number, 5_600, 1, false);
        }

        @ParameterizedTest
        @CsvSource({"0.3", "0.5"})
        void areMetByEstimatesThatDoNotKnowTheTail(double spread) {
            DrawnRuns runs = runs(12);
            for (int i = 0; i < 3_000; i++) {
                double length = runs.length(14_500, spread);
                boolean tail = runs.uniform() < 0.03;
                runs.end(KIND, runs.estimate(length), tail ? 7 * length : length);
            }

            Calibration calibration = runs.model.calibration();
            assertThat(calibration.shareByHalf()).isCloseTo(0.5, within(TOLERANCE));
            assertThat(calibration.shareByNineTenths()).isCloseTo(0.9, within(TOLERANCE));
        }

        /** The length is 0.1 to 1.9 times the estimate, instead of the reverse. */
        @ParameterizedTest
        @CsvSource({"0.3", "0.5"})
        void areMetByEstimatesThatAreUpToTenTimesTooLong(double spread) {
            DrawnRuns runs = runs(15);
            for (int i = 0; i < 3_000; i++) {
                double length = runs.lengthWithTail(14_500, spread);
                runs.end(KIND, Math.round(length / (0.1 + 1.8 * runs.uniform())), length);
            }

            Calibration calibration = runs.model.calibration();
            assertThat(calibration.shareByHalf()).isCloseTo(0.5, within(TOLERANCE));
            assertThat(calibration.shareByNineTenths()).isCloseTo(0.9, within(TOLERANCE));
        }

        @ParameterizedTest
        @CsvSource({"0.3", "0.5"})
        void areMetWithoutEstimates(double spread) {
            DrawnRuns runs = runs(13);
            for (int i = 0; i < 3_000; i++) {
                runs.end(KIND, 0, runs.lengthWithTail(11_000, spread));
            }

            Calibration calibration = runs.model.calibration();
            assertThat(calibration.shareByHalf()).isCloseTo(0.5, within(TOLERANCE));
            assertThat(calibration.shareByNineTenths()).isCloseTo(0.9, within(TOLERANCE));
        }
    }

    /** Guards against decisions by forecasts that few ends support. */
    @Nested
    @Group
    class WithoutEvidence {
        @Test
        void theForecastIsTheEstimateWithTheUsualError() {
            RunLengthForecast forecast = runs(1).forecast(10_000);

            assertThat(forecast.evidence()).isZero();
            assertThat(forecast.quantileMillis(0.5)).isCloseTo(10_000, within(10.0));
            double deviation = Math.exp(Math.sqrt(0.5));
            assertThat(forecast.quantileMillis(0.8413))
                    .isCloseTo(10_000 * deviation, within(100.0));
            assertThat(forecast.quantileMillis(0.1587))
                    .isCloseTo(10_000 / deviation, within(100.0));
            assertThat(forecast.meanMillis()).isCloseTo(10_000 * Math.exp(0.25), within(100.0));
        }

        @Property(tries = 100, seed = "21")
        void fewEndsLeaveTheForecastAsItIs(
                @ForAll @IntRange(min = 1, max = 8) int ends,
                @ForAll @IntRange(max = 20) int unfinished,
                @ForAll @DoubleRange(min = 0.01, max = 0.99) double probability) {
            DrawnRuns runs = runs(ends);
            double before = runs.forecast(7_000).quantileMillis(probability);
            for (int i = 0; i < unfinished; i++) {
                runs.model.recordUnfinished(KIND, 100, 50_000, runs.now);
            }
            // The first of 8 ends counts 0.99 ends when the last one is recorded.
            runs.ends(ends, 100, 0.3);

            assertThat(runs.forecast(7_000).evidence()).isLessThan(RunLengthModel.MIN_EVIDENCE);
            assertThat(runs.forecast(7_000).quantileMillis(probability)).isEqualTo(before);
        }

        @Test
        void halfOfTheEndsCountAfterSixHours() {
            DrawnRuns runs = runs(2);
            runs.ends(12, 10_000, 0.1);
            double before = runs.forecast(3_000).evidence();
            runs.now += 6 * HOUR_MILLIS;

            assertThat(runs.forecast(3_000).evidence()).isCloseTo(before / 2, within(0.01));
            assertThat(runs.forecast(3_000).quantileMillis(0.5)).isCloseTo(3_000, within(3.0));
        }

        @Test
        void halfOfAnEndCountsAfterFiveHundredEnds() {
            DrawnRuns runs = runs(3);
            for (int i = 0; i < 10_000; i++) {
                runs.model.recordEnd(KIND, 0, 10_000, runs.now);
            }

            // The sum of the geometric series with the ratio 0.5^(1/500).
            assertThat(runs.forecast(0).evidence()).isCloseTo(721.8, within(0.1));
        }
    }

    /** Guards against forecasts that stay wide, or keep an old length, with more ends. */
    @Nested
    @Group
    class MoreEvidence {
        /**
         * The factor by which chance may widen the forecast of one kind. The range from the 0.1 to
         * the 0.9 quantile of a few runs varies with the spread of the runs.
         */
        private static double tolerance(double spread) {
            return Math.exp(0.05 + spread);
        }

        private static double width(DrawnRuns runs) {
            RunLengthForecast forecast = runs.forecast(14_500);
            return forecast.quantileMillis(0.9) / forecast.quantileMillis(0.1);
        }

        @Property(tries = 100, seed = "31")
        void doesNotWidenTheForecastOfASteadyKind(
                @ForAll @IntRange(min = 1, max = 100_000) int seed,
                @ForAll @DoubleRange(min = 0.05, max = 0.5) double spread) {
            DrawnRuns runs = runs(seed);
            double least = width(runs);
            for (int ends = 16; ends <= 1_024; ends *= 2) {
                runs.ends(ends / 2, 14_500, spread);
                double width = width(runs);
                assertThat(width).isLessThan(tolerance(spread) * least);
                least = Math.min(least, width);
            }
        }

        @ParameterizedTest
        @CsvSource({"0.1", "0.3", "0.5"})
        void narrowsTheForecastOfManyKindsOnAverage(double spread) {
            double before = Double.MAX_VALUE;
            for (int ends = 16; ends <= 1_024; ends *= 2) {
                double total = 0;
                for (int seed = 1; seed <= 100; seed++) {
                    DrawnRuns runs = runs(seed);
                    runs.ends(ends, 14_500, spread);
                    total += width(runs) / 100;
                }
                assertThat(total).isLessThan(1.02 * before);
                before = total;
            }
            double trueWidth = Math.exp(2 * 1.2816 * spread);
            assertThat(before / trueWidth).isBetween(0.75, 1.1);
        }

        @ParameterizedTest
        @CsvSource({"3, 0.3", "3, 0.5", "0.333, 0.3", "0.333, 0.5"})
        void followsAChangeOfLength(double factor, double spread) {
            for (int seed = 1; seed <= 10; seed++) {
                DrawnRuns runs = runs(seed);
                runs.endsWithTail(2_000, 10_000, spread);
                runs.endsWithTail(500, 10_000 * factor, spread);

                double median = runs.forecast(0).quantileMillis(0.5);
                assertThat(median / (10_000 * factor)).isBetween(0.8, 1.2);
            }
        }

        @Test
        void isNotDiscardedInASteadyKind() {
            DrawnRuns runs = runs(5);
            double least = Double.MAX_VALUE;
            runs.endsWithTail(2_000, 10_000, 0.5);
            for (int i = 0; i < 20_000; i++) {
                runs.endsWithTail(1, 10_000, 0.5);
                least = Math.min(least, runs.forecast(0).evidence());
            }

            assertThat(least).isGreaterThan(600);
        }

        @Test
        void ofOneCustomerServesAnother() {
            DrawnRuns runs = runs(6);
            runs.ends(200, 10_000, 0.2);
            RunKind other = new RunKind("batch", "train:7", "other", 26_000, 2, true);

            double median = runs.model.forecast(other, 0, runs.now).quantileMillis(0.5);
            assertThat(median).isCloseTo(10_000, within(1_000.0));
        }

        @Test
        void ofACustomerPrevailsOverThatOfTheOthers() {
            DrawnRuns runs = runs(7);
            RunKind other = new RunKind("batch", "train:7", "other", 26_000, 2, true);
            for (int i = 0; i < 400; i++) {
                runs.ends(1, 10_000, 0.2);
                runs.end(other, 20_000, runs.length(40_000, 0.2));
            }

            assertThat(runs.forecast(0).quantileMillis(0.5)).isCloseTo(10_000, within(1_000.0));
            assertThat(runs.model.forecast(other, 0, runs.now).quantileMillis(0.5))
                    .isCloseTo(40_000, within(4_000.0));
        }

        @Test
        void ofExactEstimatesMakesThemCount() {
            DrawnRuns runs = runs(8);
            for (int i = 0; i < 500; i++) {
                double length = runs.length(10_000, 0.8);
                runs.end(KIND, Math.round(length / 2), length);
            }

            assertThat(runs.forecast(2_500).quantileMillis(0.5)).isCloseTo(5_000, within(500.0));
            assertThat(runs.forecast(10_000).quantileMillis(0.5))
                    .isCloseTo(20_000, within(2_000.0));
        }
    }

    /** Guards against stopped runs that make the kind look shorter than it is. */
    @Nested
    @Group
    class UnfinishedRuns {
        @Property(tries = 300, seed = "41")
        void neverShortenAQuantile(
                @ForAll @IntRange(max = 300) int ends,
                @ForAll @IntRange(min = 1, max = 50) int unfinished,
                @ForAll @DoubleRange(min = 1, max = 500_000) double age,
                @ForAll @IntRange(max = 40_000) int estimate,
                @ForAll boolean ofAnotherCustomer) {
            DrawnRuns runs = runs(ends);
            runs.endsWithTail(ends, 12_000, 0.4);
            RunKind other = new RunKind("batch", "train:7", "other", 26_000, 2, true);
            RunKind kind = ofAnotherCustomer ? other : KIND;
            RunLengthForecast before = runs.forecast(estimate);
            for (int i = 0; i < unfinished; i++) {
                runs.model.recordUnfinished(kind, estimate, age, runs.now);
            }
            RunLengthForecast after = runs.forecast(estimate);

            for (double p = 0.01; p < 1; p += 0.01) {
                assertThat(after.quantileMillis(p))
                        .isGreaterThanOrEqualTo(before.quantileMillis(p) * (1 - 1e-5));
            }
        }

        @Test
        void lengthenTheForecastOfAKindWhoseLongRunsAreStopped() {
            DrawnRuns runs = runs(9);
            for (int i = 0; i < 1_000; i++) {
                double length = runs.length(10_000, 0.5);
                if (length < 12_000) {
                    runs.end(KIND, 0, length);
                } else {
                    runs.model.recordUnfinished(KIND, 0, 12_000, runs.now);
                }
            }

            double stated = runs.forecast(0).quantileMillis(0.5);
            assertThat(stated).isBetween(9_000.0, 11_000.0);
        }

        @Test
        void areBoundedInWeight() {
            DrawnRuns runs = runs(10);
            runs.ends(500, 10_000, 0.3);
            for (int i = 0; i < 100_000; i++) {
                runs.model.recordUnfinished(KIND, 0, 11_000, runs.now);
            }
            runs.ends(2_000, 10_000, 0.3);

            assertThat(runs.forecast(0).quantileMillis(0.5)).isCloseTo(10_000, within(2_000.0));
        }
    }

    /** Guards against memory that grows with the number of kinds. */
    @Nested
    class Kinds {
        @Test
        void beyondTheLimitAreMergedIntoTheirParents() {
            DrawnRuns runs = runs(11);
            runs.ends(100, 10_000, 0.2);
            for (int i = 0; i < 3_000; i++) {
                RunKind kind = new RunKind("batch", "i" + i % 7, "c" + i % 10, i, 1, false);
                runs.end(kind, 5_000, runs.length(10_000, 0.2));
                assertThat(runs.model.kinds()).isLessThanOrEqualTo(RunLengthModel.MAX_KINDS);
            }

            assertThat(runs.model.kinds()).isBetween(950, RunLengthModel.MAX_KINDS);
            assertThat(runs.model.merges()).isGreaterThanOrEqualTo(2_001);
            RunKind merged = new RunKind("batch", "i0", "c0", 0, 1, false);
            RunLengthForecast forecast = runs.model.forecast(merged, 5_000, runs.now);
            assertThat(forecast.evidence()).isGreaterThan(600);
            assertThat(forecast.quantileMillis(0.5)).isCloseTo(10_000, within(1_500.0));
            assertThat(runs.forecast(5_000).quantileMillis(0.5)).isCloseTo(10_000, within(1_500.0));
        }

        @Test
        void ofDistinctQueuesAreDropped() {
            DrawnRuns runs = runs(12);
            runs.ends(100, 10_000, 0.2);
            for (int i = 0; i < 1_500; i++) {
                runs.end(new RunKind("q" + i, "i", "c", 1, 1, false), 0, 1_000);
                assertThat(runs.model.kinds()).isLessThanOrEqualTo(RunLengthModel.MAX_KINDS);
            }

            assertThat(runs.model.kinds()).isBetween(950, RunLengthModel.MAX_KINDS);
            assertThat(runs.forecast(0).evidence()).isGreaterThan(90);
        }
    }

    @Nested
    class Arguments {
        @Test
        void outsideTheirRangeAreRefused() {
            RunLengthModel model = new RunLengthModel();

            assertThatIllegalArgumentException().isThrownBy(() -> model.recordEnd(KIND, -1, 1, 0));
            assertThatIllegalArgumentException()
                    .isThrownBy(() -> model.recordUnfinished(KIND, 0, Double.NaN, 0));
            assertThatIllegalArgumentException().isThrownBy(() -> model.forecast(KIND, -1, 0));
            assertThatIllegalArgumentException()
                    .isThrownBy(() -> new RunKind("q", "i", "c", -1, 0, false));
        }

        @Test
        void ofExtremeLengthAreClamped() {
            DrawnRuns runs = runs(14);
            for (int i = 0; i < 200; i++) {
                runs.end(KIND, 0, 1e15);
            }

            assertThat(runs.forecast(0).quantileMillis(0.5))
                    .isCloseTo(24.0 * HOUR_MILLIS, within(2.4 * HOUR_MILLIS));
        }
    }
}
