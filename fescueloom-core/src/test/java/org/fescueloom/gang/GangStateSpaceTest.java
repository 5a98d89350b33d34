package org.fescueloom.gang;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Set;
import org.fescueloom.chart.StateSpaceExplorer;
import org.junit.jupiter.api.Test;

/** Walks every reachable state of a gang of two with one fault at each step. */
class GangStateSpaceTest {
    private static final long TICK_MILLIS = 1_000L;

    private static Set<GangModel> walk(GangModel.Rules rules, int pauses) {
        long longestPartial = GangModel.TERMS.maxPartialRunMillis(pauses);
        long retryDelay = GangModel.TERMS.retryDelayAfterLossMillis();
        return StateSpaceExplorer.explore(
                GangModel.start(rules, pauses),
                GangModel::steps,
                world -> {
                    assertThat(world.violation()).isNull();
                    assertThat(world.partialTicks() * TICK_MILLIS)
                            .isLessThanOrEqualTo(longestPartial);
                    if (world.endedTicks() * TICK_MILLIS > retryDelay) {
                        assertThat(world.members()).noneMatch(GangModel.Member::runs);
                    }
                });
    }

    @Test
    void noPartRunsLongerThanTheBoundAndNothingRunsAtTheRetry() {
        assertThat(walk(GangModel.Rules.ALL, 0)).hasSizeGreaterThan(1_000);
    }

    @Test
    void boundGrowsByOneLeaseForAPausedKeeper() {
        assertThat(walk(GangModel.Rules.ALL, 1)).hasSizeGreaterThan(1_000);
    }

    @Test
    void violationIsFoundWhenTasksStartInOneStep() {
        assertThatThrownBy(() -> walk(GangModel.Rules.ONE_STEP_START, 0))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("started before all leases");
    }

    @Test
    void violationIsFoundWhenLeasesAreRenewedOneByOne() {
        assertThatThrownBy(() -> walk(GangModel.Rules.RENEW_EACH_FOR_ITSELF, 0))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("to be less than or equal to");
    }
}
