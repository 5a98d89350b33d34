package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WaitTimesTest {
    private static final WaitingStep STEP = new WaitingStep(0, 1);

    private final WaitTimes waitTimes = new WaitTimes();

    @Test
    void areCountedFromTheFirstOfConsecutiveRounds() {
        waitTimes.beginRound();
        assertThat(waitTimes.recordWait("j", STEP, 100)).isZero();
        waitTimes.beginRound();
        assertThat(waitTimes.recordWait("j", STEP, 150)).isEqualTo(50);
        waitTimes.beginRound();
        assertThat(waitTimes.recordWait("j", STEP, 400)).isEqualTo(300);
    }

    @Test
    void restartAfterARoundWithoutWaiting() {
        waitTimes.beginRound();
        waitTimes.recordWait("j", STEP, 100);
        waitTimes.beginRound();
        waitTimes.beginRound();

        assertThat(waitTimes.recordWait("j", STEP, 400)).isZero();
    }

    @Test
    void goOnInARoundThatLeavesTheStepOut() {
        waitTimes.beginRound();
        waitTimes.recordWait("j", STEP, 100);
        waitTimes.beginRound();
        waitTimes.keepSteps("j", step -> true);
        waitTimes.beginRound();

        assertThat(waitTimes.recordWait("j", STEP, 400)).isEqualTo(300);
    }

    @Test
    void restartIfALeftOutStepDoesNotWait() {
        waitTimes.beginRound();
        waitTimes.recordWait("j", STEP, 100);
        waitTimes.beginRound();
        waitTimes.keepSteps("j", step -> false);
        waitTimes.beginRound();

        assertThat(waitTimes.recordWait("j", STEP, 400)).isZero();
    }
}
