package org.fescueloom.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResourcesTest {
    private static final Resources NODE = new Resources(32_000, 1_000, 8);

    @Nested
    class Quotient {
        @Test
        void isLimitedByTheScarcestResource() {
            assertThat(NODE.quotient(new Resources(1_000, 100, 1))).isEqualTo(8);
            assertThat(NODE.quotient(new Resources(1_000, 300, 1))).isEqualTo(3);
            assertThat(NODE.quotient(new Resources(20_000, 0, 0))).isEqualTo(1);
        }

        @Test
        void isZeroIfACapacityIsExceeded() {
            Resources exceeded = new Resources(-1, 1_000, 8);
            assertThat(exceeded.quotient(new Resources(0, 100, 1))).isZero();
            assertThat(exceeded.quotient(new Resources(1, 100, 1))).isZero();
        }

        @Test
        void isUnlimitedIfNothingIsNeeded() {
            assertThat(NODE.quotient(Resources.NONE)).isEqualTo(Long.MAX_VALUE);
        }
    }
}
