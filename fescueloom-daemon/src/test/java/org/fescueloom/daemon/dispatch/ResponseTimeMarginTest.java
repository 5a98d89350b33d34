package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ResponseTimeMarginTest {
    @Test
    void subtractsTheMaximumMarginFromLongTimeouts() {
        assertThat(ResponseTimeMargin.subtractFrom(3_000)).isEqualTo(2_750);
    }

    @Test
    void subtractsAQuarterFromShortTimeouts() {
        assertThat(ResponseTimeMargin.subtractFrom(200)).isEqualTo(150);
    }

    @Test
    void leavesNothingOfZeroAndNegativeTimeouts() {
        assertThat(ResponseTimeMargin.subtractFrom(0)).isZero();
        assertThat(ResponseTimeMargin.subtractFrom(-10)).isNegative();
    }
}
