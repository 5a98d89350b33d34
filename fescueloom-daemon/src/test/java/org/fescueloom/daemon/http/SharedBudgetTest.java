package org.fescueloom.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SharedBudgetTest {
    private final SharedBudget budget = new SharedBudget(100);
    private final SharedBudget.Share first = budget.share(0.2);
    private final SharedBudget.Share second = budget.share(0.3);

    @Nested
    class Reservations {
        /** Guards against a load on one server that locks out the others. */
        @Test
        void remainWhenAnotherServerUsesEverythingElse() {
            assertThat(first.tryAcquire(70)).isTrue();
            assertThat(first.tryAcquire(1)).isFalse();
            assertThat(second.tryAcquire(30)).isTrue();
            assertThat(second.tryAcquire(1)).isFalse();
        }

        @Test
        void areUsedFirst() {
            first.tryAcquire(20);
            assertThat(second.tryAcquire(80)).isTrue();
        }

        @Test
        void cannotExceedTheWhole() {
            assertThatThrownBy(() -> budget.share(0.6))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Nested
    class Amounts {
        @Test
        void canBeAcquiredAgainAfterTheyAreReleased() {
            first.tryAcquire(70);
            first.release(50);
            assertThat(first.inUse()).isEqualTo(20);
            assertThat(second.tryAcquire(80)).isTrue();
        }

        @Test
        void beyondTheBudgetDelayFurtherOnes() {
            first.acquire(120);
            assertThat(second.tryAcquire(31)).isFalse();
            first.release(120);
            assertThat(second.tryAcquire(80)).isTrue();
        }

        /** Guards against amounts that are lost or counted twice. */
        @Test
        void leaveNothingInUseAfterAnySequence() {
            Random random = new Random(65);
            for (int i = 0; i < 10_000; i++) {
                SharedBudget.Share share = random.nextBoolean() ? first : second;
                if (random.nextBoolean()) {
                    share.tryAcquire(random.nextInt(60));
                } else {
                    share.release(random.nextInt((int) share.inUse() + 1));
                }
                assertThat(first.inUse() + second.inUse()).isBetween(0L, 100L);
            }
            first.release(first.inUse());
            second.release(second.inUse());
            assertThat(first.tryAcquire(70)).isTrue();
            assertThat(second.tryAcquire(30)).isTrue();
        }
    }
}
