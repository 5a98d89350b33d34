package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private final UpstreamHealth health = new UpstreamHealth();

    @Nested
    class Speed {
        @Test
        void isLearnedFromSingleRuns() {
            for (int i = 0; i < 10; i++) {
                health.done(1.6, false);
            }

            assertThat(health.slowness()).isCloseTo(1.6, within(0.05));
        }

        @Test
        void oneGangSaysLittleOfItsSlowestMember() {
            health.done(3.0, true);

            assertThat(health.slowness()).isLessThan(1.4);
        }

        @Test
        void aFastGangSaysThatAllItsMembersAreFast() {
            health.done(0.5, true);

            assertThat(health.slowness()).isLessThan(0.85);
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
            health.done(1, false);
            health.failed(10);

            assertThat(health.suspect(11)).isFalse();
        }
    }
}
