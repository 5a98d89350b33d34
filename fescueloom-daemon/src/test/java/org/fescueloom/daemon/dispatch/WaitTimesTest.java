package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WaitTimesTest {
    private final WaitTimes times = new WaitTimes();

    @Test
    void countFromTheFirstRoundInARow() {
        times.beginRound();
        assertThat(times.recordWait("a", 100)).isZero();
        times.beginRound();
        assertThat(times.recordWait("a", 150)).isEqualTo(50);
        times.beginRound();
        assertThat(times.recordWait("a", 400)).isEqualTo(300);
    }

    @Test
    void beginAnewAfterABreak() {
        times.beginRound();
        times.recordWait("a", 100);
        times.beginRound();
        times.beginRound();

        assertThat(times.recordWait("a", 400)).isZero();
    }
}
