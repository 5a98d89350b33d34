package org.fescueloom.gang;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Set;
import org.fescueloom.chart.StateSpaceExplorer;
import org.junit.jupiter.api.Test;

/**
 * Explores every reachable state of a gang of two members in which one fault may occur at any step.
 */
class GangStateSpaceTest {
    private static final long TICK_MILLIS = 1_000L;

    /**
     * Explores the model, and checks that the members run partially for no longer than the bound
     * and that none runs when the job is retried after the loss of its gang.
     */
    private static Set<GangModel> explore(GangModel.Rules rules, int pauses) {
        long maxPartialRun = GangModel.TIMINGS.maxPartialRunMillis(pauses);
        long retryDelay = GangModel.TIMINGS.retryDelayAfterLossMillis();
        return StateSpaceExplorer.explore(
                GangModel.start(rules, pauses),
                GangModel::steps,
                model -> {
                    assertThat(model.violation()).isNull();
                    assertThat(model.partialTicks() * TICK_MILLIS)
                            .isLessThanOrEqualTo(maxPartialRun);
                    if (model.endedTicks() * TICK_MILLIS > retryDelay) {
                        assertThat(model.members()).noneMatch(GangModel.Member::runs);
                    }
                });
    }

    @Test
    void partialRunsAreBoundedAndNothingRunsAtTheRetry() {
        assertThat(explore(GangModel.Rules.ALL, 0)).hasSizeGreaterThan(1_000);
    }

    @Test
    void boundIncludesOneMoreLeaseForAPausedKeeper() {
        assertThat(explore(GangModel.Rules.ALL, 1)).hasSizeGreaterThan(1_000);
    }

    @Test
    void detectsTheViolationWhenTasksStartBeforeAllLeasesAreGranted() {
        assertThatThrownBy(() -> explore(GangModel.Rules.START_WITHOUT_ALL_LEASES, 0))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("started before all leases");
    }

    @Test
    void detectsTheViolationWhenLeasesAreRenewedIndependently() {
        assertThatThrownBy(() -> explore(GangModel.Rules.RENEW_INDEPENDENTLY, 0))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("to be less than or equal to");
    }
}
