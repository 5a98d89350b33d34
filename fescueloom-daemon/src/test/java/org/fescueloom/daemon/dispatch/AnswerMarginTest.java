package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AnswerMarginTest {
    @Test
    void leavesAFixedTimeForTheWayOfLongCalls() {
        assertThat(AnswerMargin.before(3_000)).isEqualTo(2_750);
    }

    @Test
    void leavesShortCallsMostOfTheirTime() {
        assertThat(AnswerMargin.before(200)).isEqualTo(150);
    }

    @Test
    void leavesNothingWhereNothingIs() {
        assertThat(AnswerMargin.before(0)).isZero();
        assertThat(AnswerMargin.before(-10)).isNegative();
    }
}
