package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private final UpstreamHealth health = new UpstreamHealth();

    /** Returns what is learned of a step whose estimate is right. */
    private static StepPace knownPace() {
        StepPace pace = new StepPace();
        for (int i = 0; i < 60; i++) {
            new UpstreamHealth().done(1.0, pace, false, 0);
        }
        return pace;
    }

    @Nested
    class Speed {
        @Test
        void isLearnedFromSingleRuns() {
            StepPace pace = knownPace();
            for (int i = 0; i < 10; i++) {
                health.done(1.6, pace, false, 0);
            }

            assertThat(health.slowness()).isCloseTo(1.6, within(0.05));
        }

        @Test
        void isLearnedFromManyStepsWhoseEstimatesAreOff() {
            for (int i = 0; i < 60; i++) {
                health.done(i % 2 == 0 ? 0.8 : 3.2, new StepPace(), false, 0);
            }

            assertThat(health.slowness()).isCloseTo(1.6, within(0.2));
        }

        @Test
        void isLearnedFromTheTasksOfOneStepOnSeveralUpstreams() {
            StepPace pace = new StepPace();
            List<UpstreamHealth> usual = List.of(new UpstreamHealth(), new UpstreamHealth());
            for (int i = 0; i < 4; i++) {
                usual.forEach(u -> u.done(2.0, pace, false, 0));
                health.done(4.0, pace, false, 0);
            }

            double others = usual.get(0).slowness();
            assertThat(health.slowness() / others).isGreaterThan(1.6);
        }

        @Test
        void isNotBlamedForALowEstimateOfOneStep() {
            StepPace pace = new StepPace();
            for (int i = 0; i < 8; i++) {
                health.done(2.2, pace, false, 0);
            }

            assertThat(health.slowness()).isLessThan(1.35);
        }

        @Test
        void oneGangSaysLittleOfItsSlowestMember() {
            health.done(3.0, new StepPace(), true, 0);

            assertThat(health.slowness()).isLessThan(1.4);
        }

        @Test
        void aFastGangSaysThatAllItsMembersAreFast() {
            health.done(0.5, knownPace(), true, 0);

            assertThat(health.slowness()).isLessThan(0.85);
        }

        @Test
        void isKnownToBeLowBeforeARunEndsThatTakesFarTooLong() {
            StepPace pace = knownPace();
            health.running(1.0, pace);
            assertThat(health.slowness()).isLessThan(1.1);
            health.running(2.5, pace);

            assertThat(health.slowness()).isGreaterThan(1.3);
            assertThat(health.slownessAtWorst()).isGreaterThan(1.3);
            assertThat(health.provenSlowness()).isEqualTo(1.0);
            health.done(1.0, pace, false, 0);
            assertThat(health.slowness()).isLessThan(1.1);
        }

        @Test
        void isKnownOnceARunHasEnded() {
            assertThat(health.known()).isFalse();
            health.done(1.0, new StepPace(), false, 0);
            assertThat(health.known()).isTrue();
            health.done(1.0, new StepPace(), false, 3_600_000);
            assertThat(health.known()).isTrue();
        }
    }

    @Nested
    class Trust {
        @Test
        void survivesOneFailure() {
            health.failed(1_000);

            assertThat(health.suspect(1_001)).isFalse();
        }

        @Test
        void isLostForLongerWithEachFailureInARow() {
            health.failed(0);
            health.failed(0);
            assertThat(health.suspect(2_999)).isTrue();
            assertThat(health.suspect(3_000)).isFalse();
            health.failed(3_000);
            assertThat(health.suspect(8_999)).isTrue();
        }

        @Test
        void comesBackWithASuccess() {
            health.failed(0);
            health.done(1, new StepPace(), false, 0);
            health.failed(10);

            assertThat(health.suspect(11)).isFalse();
        }
    }
}
