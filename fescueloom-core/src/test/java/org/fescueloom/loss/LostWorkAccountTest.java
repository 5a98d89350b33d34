package org.fescueloom.loss;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fescueloom.loss.LostWorkAccount.Owner;
import org.fescueloom.loss.LostWorkAccount.OwnerLoss;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LostWorkAccountTest {
    /** The greatest share by which sums in different orders of addition may differ. */
    private static final double ROUNDING_SHARE = 1e-9;

    private final LostWorkAccount account = new LostWorkAccount();

    @Nested
    class Totals {
        // Guards against work that is counted under one key only.
        @Test
        void areKeptByCauseAndByOwner() {
            account.record(LossCause.PREEMPTED, "a", "q", 10);
            account.record(LossCause.FAILED, "a", "q", 5);
            account.record(LossCause.FAILED, "b", "q", 20);

            assertThat(account.total()).isEqualTo(35);
            assertThat(account.total(LossCause.PREEMPTED)).isEqualTo(10);
            assertThat(account.total(LossCause.FAILED)).isEqualTo(25);
            assertThat(account.total(LossCause.OVERDUE)).isZero();
            assertThat(account.totalsByOwner())
                    .containsOnly(
                            Map.entry(new Owner("a", "q"), 15.0),
                            Map.entry(new Owner("b", "q"), 20.0));
        }

        // Guards against an event that names the smallest causes, or causes without loss.
        @Test
        void nameTheLargestCausesAndOwner() {
            account.record(LossCause.PREEMPTED, "a", "q", 10);
            account.record(LossCause.FAILED, "b", "q", 20);
            account.record(LossCause.CANCELLED, "b", "r", 15);

            assertThat(account.largestCauses(2))
                    .containsExactly(LossCause.FAILED, LossCause.CANCELLED);
            assertThat(account.largestCauses(9)).hasSize(3);
            assertThat(account.largestOwner()).contains(new OwnerLoss(new Owner("b", "q"), 20));
        }

        // Guards against a pair that takes a place without any loss.
        @Test
        void areEmptyWithoutLoss() {
            account.record(LossCause.FAILED, "a", "q", 0);

            assertThat(account.total()).isZero();
            assertThat(account.largestCauses(3)).isEmpty();
            assertThat(account.totalsByOwner()).isEmpty();
            assertThat(account.largestOwner()).isEmpty();
        }
    }

    @Nested
    class Bounds {
        // Guards against memory that grows with the number of customers.
        @Test
        void countFurtherPairsTogether() {
            for (int i = 0; i < LostWorkAccount.MAX_PAIRS + 10; i++) {
                account.record(LossCause.FAILED, "c" + i, "q", 1);
            }
            account.record(LossCause.FAILED, "c0", "q", 1);

            assertThat(account.totalsByOwner())
                    .hasSize(LostWorkAccount.MAX_PAIRS + 1)
                    .containsEntry(Owner.OTHER, 10.0)
                    .containsEntry(new Owner("c0", "q"), 2.0);
        }

        // Guards against a customer named like the common pair whose own work disappears.
        @Test
        void keepTheWorkOfAPairWithTheNameOfTheCommonOne() {
            account.record(LossCause.FAILED, "other", "other", 7);
            for (int i = 0; i < LostWorkAccount.MAX_PAIRS; i++) {
                account.record(LossCause.FAILED, "c" + i, "q", 1);
            }

            assertThat(account.totalsByOwner()).containsEntry(Owner.OTHER, 8.0);
        }

        // Guards against one wrong value that makes all totals useless.
        @ParameterizedTest
        @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
        void refuseWorkThatIsNotAFiniteAmount(double coreSeconds) {
            assertThatThrownBy(() -> account.record(LossCause.FAILED, "a", "q", coreSeconds))
                    .isInstanceOf(IllegalArgumentException.class);
            assertThat(account.total()).isZero();
        }
    }

    /** One call of {@link LostWorkAccount#record}. */
    record Loss(LossCause cause, String customer, String queue, double coreSeconds) {}

    @Provide
    Arbitrary<List<Loss>> losses() {
        Arbitrary<String> customers = Arbitraries.integers().between(0, 99).map(i -> "c" + i);
        return Combinators.combine(
                        Arbitraries.of(LossCause.class),
                        customers,
                        Arbitraries.of("q", "r", "s", "t"),
                        Arbitraries.doubles().between(0, 1e6))
                .as(Loss::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(1_000);
    }

    // Guards against work that is lost on the way into one of the two sums, also beyond the bound.
    @Property(tries = 200, seed = "3")
    void theSumOverCausesEqualsTheSumOverPairs(@ForAll("losses") List<Loss> losses) {
        LostWorkAccount summed = new LostWorkAccount();
        for (Loss loss : losses) {
            summed.record(loss.cause(), loss.customer(), loss.queue(), loss.coreSeconds());
        }
        double byCause = 0;
        for (LossCause cause : LossCause.values()) {
            byCause += summed.total(cause);
        }
        double byOwner =
                summed.totalsByOwner().values().stream().mapToDouble(Double::doubleValue).sum();

        assertThat(summed.totalsByOwner()).hasSizeLessThanOrEqualTo(LostWorkAccount.MAX_PAIRS + 1);
        assertThat(byOwner).isCloseTo(byCause, within(ROUNDING_SHARE * byCause));
        assertThat(summed.total()).isCloseTo(byCause, within(ROUNDING_SHARE * byCause));
    }
}
