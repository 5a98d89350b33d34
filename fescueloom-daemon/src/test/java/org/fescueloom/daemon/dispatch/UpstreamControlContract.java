package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.fescueloom.work.RunEnd;
import org.junit.jupiter.api.Test;

/** States what every upstream must do with its orders; each implementation has a subclass. */
public abstract class UpstreamControlContract {
    /** The name of the upstream. */
    protected static final String INSTANCE = "i-1";

    /** How long a run takes, in milliseconds. */
    protected static final long RUN_MILLIS = 400;

    private static final long LEASE_MILLIS = 10_000;
    private static final String TASK = "00000000000000aa.0.0.0";

    /** Returns an upstream that holds nothing. */
    protected abstract UpstreamControl upstream();

    /** Lets time pass on the clock of the upstream. */
    protected abstract void advanceClock(long millis);

    private OrderResult start(int run, long token) {
        return start(INSTANCE, run, token, hold(token, 0).clockMillis() + LEASE_MILLIS);
    }

    private OrderResult start(String instance, int run, long token, long leaseUntilMillis) {
        StartOrder order = new StartOrder(TASK, run, "boot", "payload", "");
        return upstream().start(instance, order, token, leaseUntilMillis).join();
    }

    private OrderResult stop(int run, long token) {
        return upstream().stop(INSTANCE, new StopOrder(TASK, run, "boot"), token).join();
    }

    private UpstreamSnapshot hold(long token, long acknowledged) {
        return upstream().poll(INSTANCE, token, acknowledged, 0, Duration.ZERO).join();
    }

    @Test
    void startsARunOnceHoweverOftenItIsTold() {
        assertThat(start(1, 5)).isEqualTo(OrderResult.DONE);
        assertThat(start(1, 5)).isEqualTo(OrderResult.DONE);

        assertThat(hold(5, 0).running()).extracting(RunStatus::run).containsExactly(1);
    }

    @Test
    void neverStartsARunThatWasStopped() {
        assertThat(stop(2, 5)).isEqualTo(OrderResult.DONE);

        assertThat(start(2, 5)).isEqualTo(OrderResult.SUPERSEDED);
        assertThat(start(1, 5)).isEqualTo(OrderResult.SUPERSEDED);
        assertThat(start(3, 5)).isEqualTo(OrderResult.DONE);
    }

    @Test
    void listsAnEndUntilItIsAcknowledged() {
        start(1, 5);
        advanceClock(RUN_MILLIS + 100);

        EndedRun end = hold(5, 0).ended().get(0);
        assertThat(end.end()).isEqualTo(RunEnd.DONE);
        assertThat(end.task()).isEqualTo(TASK);
        assertThat(hold(5, 0).ended()).hasSize(1);
        assertThat(hold(5, end.number()).ended()).isEmpty();
        assertThat(start(1, 5)).isEqualTo(OrderResult.SUPERSEDED);
    }

    @Test
    void obeysNoDispatcherBeforeTheNewest() {
        start(1, 7);

        assertThat(stop(1, 6)).isEqualTo(OrderResult.FENCED);
        assertThat(hold(7, 0).running()).hasSize(1);
        assertThat(stop(1, 7)).isEqualTo(OrderResult.DONE);
        assertThat(hold(7, 0).ended()).extracting(EndedRun::end).containsExactly(RunEnd.STOPPED);
    }

    @Test
    void startsNothingOnceItsTimeHasPassed() {
        long now = hold(5, 0).clockMillis();
        advanceClock(20);

        assertThat(start(INSTANCE, 1, 5, now + 5)).isEqualTo(OrderResult.LATE);
    }

    @Test
    void endsWhatRunsWhenItsLeaseRunsOut() {
        start(INSTANCE, 1, 5, hold(5, 0).clockMillis() + RUN_MILLIS / 2);
        advanceClock(RUN_MILLIS / 2 + 50);

        assertThat(hold(5, 0).ended()).extracting(EndedRun::end).containsExactly(RunEnd.LAPSED);
    }

    @Test
    void refusesOrdersToAnotherInstance() {
        assertThat(start("i-2", 1, 5, LEASE_MILLIS)).isEqualTo(OrderResult.OTHER_BOOT);
        assertThatThrownBy(() -> upstream().poll("i-2", 5, 0, 0, Duration.ZERO).join())
                .hasRootCauseInstanceOf(BootMismatchException.class);
    }
}
