package org.fescueloom.chart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;

class StateSpaceExplorerTest {
    private static Map<String, Integer> steps(int n) {
        return Map.of("double", n * 2 % 7, "increment", (n + 1) % 7);
    }

    @Test
    void visitsEveryReachableState() {
        assertThat(StateSpaceExplorer.explore(1, StateSpaceExplorerTest::steps, n -> {}))
                .containsExactlyInAnyOrder(0, 1, 2, 3, 4, 5, 6);
    }

    @Test
    void reportsTheShortestPathToAFailedCheck() {
        assertThatThrownBy(
                        () ->
                                StateSpaceExplorer.explore(
                                        1,
                                        StateSpaceExplorerTest::steps,
                                        n -> assertThat(n).isNotEqualTo(4)))
                .isInstanceOf(AssertionError.class)
                .hasMessageMatching("(?s)start -> 1, .* -> 2, double -> 4: .*");
    }
}
