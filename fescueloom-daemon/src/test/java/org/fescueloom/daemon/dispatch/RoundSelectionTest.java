package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoundSelectionTest {
    private final RoundSelection selection = new RoundSelection();

    private static List<WaitingStep> steps(int count) {
        return IntStream.range(0, count).mapToObj(step -> new WaitingStep(0, step)).toList();
    }

    @Nested
    class SmallJobs {
        @Test
        void areConsideredWhole() {
            selection.beginRound(List.of(3, 10_000));

            assertThat(selection.select("small", steps(3))).isEqualTo(steps(3));
        }

        @Test
        void leaveNothingOut() {
            selection.beginRound(Collections.nCopies(100, 3));
            selection.select("small", steps(3));

            assertThat(selection.leavesOut()).isFalse();
        }
    }

    @Nested
    class LargeJobs {
        @Test
        void shareWhatARoundConsiders() {
            selection.beginRound(List.of(10_000, 10_000, 1));

            assertThat(selection.select("a", steps(10_000))).hasSize(255);
            assertThat(selection.leavesOut()).isTrue();
        }

        @Test
        void getAFewStepsEachHoweverManyTheyAre() {
            selection.beginRound(Collections.nCopies(1_000, 50));

            assertThat(selection.select("a", steps(50)))
                    .hasSize(RoundSelection.MIN_STEPS_PER_JOB)
                    .startsWith(new WaitingStep(0, 0))
                    .doesNotHaveDuplicates();
        }

        // Guards against steps that are never considered because those before them fit nowhere.
        @Test
        void haveEachStepConsideredInTurn() {
            Set<WaitingStep> considered = new HashSet<>();
            for (int round = 0; round < 30; round++) {
                selection.beginRound(List.of(10_000));
                considered.addAll(selection.select("a", steps(10_000)));
            }

            assertThat(considered).hasSize(10_000);
        }
    }
}
