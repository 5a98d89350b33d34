package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AnswerTimeMarginTest {
    @Test
    void subtractsTheMaximumMarginFromLongTimeouts() {
        assertThat(AnswerTimeMargin.subtractFrom(3_000)).isEqualTo(2_750);
    }

    @Test
    void subtractsAQuarterFromShortTimeouts() {
        assertThat(AnswerTimeMargin.subtractFrom(200)).isEqualTo(150);
    }

    @Test
    void leavesNothingOfZeroAndNegativeTimeouts() {
        assertThat(AnswerTimeMargin.subtractFrom(0)).isZero();
        assertThat(AnswerTimeMargin.subtractFrom(-10)).isNegative();
    }
}
