package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private final UpstreamHealth health = new UpstreamHealth();

    /** Returns the learned estimate error of a step whose estimate is right. */
    private static StepEstimateError exactEstimate() {
        StepEstimateError estimateError = new StepEstimateError();
        for (int i = 0; i < 60; i++) {
            new UpstreamHealth().recordSuccess(1.0, estimateError, false, 0);
        }
        return estimateError;
    }

    @Nested
    class Slowness {
        @Test
        void isLearnedFromSingleRuns() {
            StepEstimateError estimateError = exactEstimate();
            for (int i = 0; i < 10; i++) {
                health.recordSuccess(1.6, estimateError, false, 0);
            }

            assertThat(health.slowness()).isCloseTo(1.6, within(0.05));
        }

        @Test
        void isLearnedFromManyStepsWithWrongEstimates() {
            // A slowness of 1.6 and estimates that are twice or half of the right value.
            for (int i = 0; i < 60; i++) {
                health.recordSuccess(i % 2 == 0 ? 0.8 : 3.2, new StepEstimateError(), false, 0);
            }

            assertThat(health.slowness()).isCloseTo(1.6, within(0.2));
        }

        @Test
        void isLearnedFromTheTasksOfOneStepOnSeveralUpstreams() {
            StepEstimateError estimateError = new StepEstimateError();
            List<UpstreamHealth> average = List.of(new UpstreamHealth(), new UpstreamHealth());
            for (int i = 0; i < 4; i++) {
                average.forEach(u -> u.recordSuccess(2.0, estimateError, false, 0));
                health.recordSuccess(4.0, estimateError, false, 0);
            }

            double averageSlowness = average.get(0).slowness();
            assertThat(health.slowness() / averageSlowness).isGreaterThan(1.6);
        }

        @Test
        void isNotRaisedMuchByOneStepWithALowEstimate() {
            StepEstimateError estimateError = new StepEstimateError();
            for (int i = 0; i < 8; i++) {
                health.recordSuccess(2.2, estimateError, false, 0);
            }

            assertThat(health.slowness()).isLessThan(1.35);
        }

        @Test
        void isNotRaisedMuchByOneSlowGang() {
            health.recordSuccess(3.0, new StepEstimateError(), true, 0);

            assertThat(health.slowness()).isLessThan(1.4);
        }

        @Test
        void isLoweredByOneFastGang() {
            health.recordSuccess(0.5, exactEstimate(), true, 0);

            assertThat(health.slowness()).isLessThan(0.85);
        }

        @Test
        void isRaisedByAnOverdueRunThatHasNotEnded() {
            StepEstimateError estimateError = exactEstimate();
            health.recordRunning(1.0, estimateError);
            assertThat(health.slowness()).isLessThan(1.1);
            health.recordRunning(2.5, estimateError);

            assertThat(health.slowness()).isGreaterThan(1.3);
            assertThat(health.slownessUpperBound()).isGreaterThan(1.3);
            assertThat(health.measuredSlowness()).isEqualTo(1.0);
            health.recordSuccess(1.0, estimateError, false, 0);
            assertThat(health.slowness()).isLessThan(1.1);
        }

        @Test
        void isKnownAfterTheFirstSuccessfulRun() {
            assertThat(health.speedKnown()).isFalse();
            health.recordSuccess(1.0, new StepEstimateError(), false, 0);
            assertThat(health.speedKnown()).isTrue();
            health.recordSuccess(1.0, new StepEstimateError(), false, 3_600_000);
            assertThat(health.speedKnown()).isTrue();
        }
    }

    @Nested
    class Suspicion {
        @Test
        void doesNotFollowFromOneFailure() {
            health.recordFailure(1_000);

            assertThat(health.suspect(1_001)).isFalse();
        }

        @Test
        void lastsLongerWithEachConsecutiveFailure() {
            health.recordFailure(0);
            health.recordFailure(0);
            assertThat(health.suspect(2_999)).isTrue();
            assertThat(health.suspect(3_000)).isFalse();
            health.recordFailure(3_000);
            assertThat(health.suspect(8_999)).isTrue();
        }

        @Test
        void requiresFailuresWithoutASuccessBetween() {
            health.recordFailure(0);
            health.recordSuccess(1, new StepEstimateError(), false, 0);
            health.recordFailure(10);

            assertThat(health.suspect(11)).isFalse();
        }
    }

    @Nested
    class Pace {
        @Test
        void showsASlowUpstreamWithinTwoMeasurements() {
            health.recordPace(1.67, false, 0);
            health.recordPace(1.67, false, 0);

            assertThat(health.speedKnown()).isTrue();
            assertThat(health.slowness()).isCloseTo(1.67, within(0.1));
        }

        @Test
        void showsThatAnUpstreamIsNotSlow() {
            double boundBefore = health.slownessUpperBound();
            health.recordPace(1.02, false, 0);

            assertThat(health.slowness()).isEqualTo(1.0);
            assertThat(health.slownessUpperBound()).isLessThan(1.2).isLessThan(boundBefore);
        }

        @Test
        void doesNotSlowDownAFastUpstream() {
            StepEstimateError estimateError = exactEstimate();
            for (int i = 0; i < 10; i++) {
                health.recordSuccess(0.6, estimateError, false, 0);
            }
            double slowness = health.slowness();
            health.recordPace(1.02, false, 0);

            assertThat(health.slowness()).isEqualTo(slowness);
        }

        @Test
        void clearsWhatALowEstimateHasSuggested() {
            health.recordRunning(2.5, exactEstimate());
            assertThat(health.slowness()).isGreaterThan(1.5);

            health.recordPace(1.02, false, 0);
            assertThat(health.slowness()).isEqualTo(1.0);
        }

        @Test
        void ofAGangIsWeakEvidenceOfASlowUpstream() {
            health.recordPace(1.67, true, 0);

            assertThat(health.slowness()).isLessThan(1.2);
        }
    }
}
