package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.fescueloom.work.RunEnd;
import org.junit.jupiter.api.Test;

/**
 * Tests how an upstream must respond to orders. Each implementation of {@link UpstreamControl} has
 * a subclass.
 */
public abstract class UpstreamControlContract {
    /** The identifier of the upstream. */
    protected static final String INSTANCE = "i-1";

    /** How long a run takes, in milliseconds. */
    protected static final long RUN_MILLIS = 400;

    private static final long LEASE_MILLIS = 10_000;
    private static final String TASK = "00000000000000aa.0.0.0";

    /** Returns the upstream under test, which has no runs at first. */
    protected abstract UpstreamControl upstream();

    /** Advances the clock of the upstream. */
    protected abstract void advanceClock(long millis);

    private OrderResult start(int run, long token) {
        return start(INSTANCE, run, token, poll(token, 0).clockMillis() + LEASE_MILLIS);
    }

    private OrderResult start(String instance, int run, long token, long leaseUntilMillis) {
        StartOrder order = new StartOrder(TASK, run, "boot", "payload", "");
        return upstream().start(instance, order, token, leaseUntilMillis).join();
    }

    private OrderResult stop(int run, long token) {
        return upstream().stop(INSTANCE, new StopOrder(TASK, run, "boot"), token).join();
    }

    private UpstreamSnapshot poll(long token, long acknowledged) {
        return upstream().poll(INSTANCE, token, acknowledged, 0, Duration.ZERO).join();
    }

    @Test
    void startsARunOnceForRepeatedOrders() {
        assertThat(start(1, 5)).isEqualTo(OrderResult.DONE);
        assertThat(start(1, 5)).isEqualTo(OrderResult.DONE);

        assertThat(poll(5, 0).running()).extracting(RunStatus::run).containsExactly(1);
    }

    @Test
    void neverStartsAStoppedRun() {
        assertThat(stop(2, 5)).isEqualTo(OrderResult.DONE);

        assertThat(start(2, 5)).isEqualTo(OrderResult.SUPERSEDED);
        assertThat(start(1, 5)).isEqualTo(OrderResult.SUPERSEDED);
        assertThat(start(3, 5)).isEqualTo(OrderResult.DONE);
    }

    @Test
    void listsAnEndUntilItIsAcknowledged() {
        start(1, 5);
        advanceClock(RUN_MILLIS + 100);

        EndedRun end = poll(5, 0).ended().get(0);
        assertThat(end.end()).isEqualTo(RunEnd.DONE);
        assertThat(end.task()).isEqualTo(TASK);
        assertThat(poll(5, 0).ended()).hasSize(1);
        assertThat(poll(5, end.number()).ended()).isEmpty();
        assertThat(start(1, 5)).isEqualTo(OrderResult.SUPERSEDED);
    }

    @Test
    void rejectsOrdersWithAnOlderToken() {
        start(1, 7);

        assertThat(stop(1, 6)).isEqualTo(OrderResult.FENCED);
        assertThatThrownBy(() -> poll(6, 0)).hasRootCauseInstanceOf(TokenRefusedException.class);
        assertThat(poll(7, 0).running()).hasSize(1);
        assertThat(stop(1, 7)).isEqualTo(OrderResult.DONE);
        assertThat(poll(7, 0).ended()).extracting(EndedRun::end).containsExactly(RunEnd.STOPPED);
    }

    @Test
    void rejectsAStartAfterItsLeaseExpired() {
        long now = poll(5, 0).clockMillis();
        advanceClock(20);

        assertThat(start(INSTANCE, 1, 5, now + 5)).isEqualTo(OrderResult.LATE);
    }

    @Test
    void endsRunsWhenTheirLeaseExpires() {
        start(INSTANCE, 1, 5, poll(5, 0).clockMillis() + RUN_MILLIS / 2);
        advanceClock(RUN_MILLIS / 2 + 50);

        assertThat(poll(5, 0).ended()).extracting(EndedRun::end).containsExactly(RunEnd.LAPSED);
    }

    @Test
    void rejectsOrdersForAnotherInstance() {
        assertThat(start("i-2", 1, 5, LEASE_MILLIS)).isEqualTo(OrderResult.OTHER_BOOT);
        assertThatThrownBy(() -> upstream().poll("i-2", 5, 0, 0, Duration.ZERO).join())
                .hasRootCauseInstanceOf(BootMismatchException.class);
    }
}
