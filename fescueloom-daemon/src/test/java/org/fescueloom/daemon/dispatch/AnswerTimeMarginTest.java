package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AnswerTimeMarginTest {
    @Test
    void leavesAFixedTimeForTheWayOfLongCalls() {
        assertThat(AnswerTimeMargin.subtractFrom(3_000)).isEqualTo(2_750);
    }

    @Test
    void leavesShortCallsMostOfTheirTime() {
        assertThat(AnswerTimeMargin.subtractFrom(200)).isEqualTo(150);
    }

    @Test
    void leavesNothingWhereNothingIs() {
        assertThat(AnswerTimeMargin.subtractFrom(0)).isZero();
        assertThat(AnswerTimeMargin.subtractFrom(-10)).isNegative();
    }
}
