package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WaitTimesTest {
    private final WaitTimes waitTimes = new WaitTimes();

    @Test
    void areCountedFromTheFirstOfConsecutiveRounds() {
        waitTimes.beginRound();
        assertThat(waitTimes.recordWait("a", 100)).isZero();
        waitTimes.beginRound();
        assertThat(waitTimes.recordWait("a", 150)).isEqualTo(50);
        waitTimes.beginRound();
        assertThat(waitTimes.recordWait("a", 400)).isEqualTo(300);
    }

    @Test
    void restartAfterARoundWithoutWaiting() {
        waitTimes.beginRound();
        waitTimes.recordWait("a", 100);
        waitTimes.beginRound();
        waitTimes.beginRound();

        assertThat(waitTimes.recordWait("a", 400)).isZero();
    }
}
