package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamLinkTest {
    private static final UpstreamNotice NOTICE =
            new UpstreamNotice(
                    "i-1",
                    1,
                    "service",
                    "zone",
                    UpstreamState.READY,
                    new Resources(8_000, 1_000, 8),
                    List.of(),
                    "",
                    0,
                    1);

    private final ManualScheduler loop = new ManualScheduler();
    private final List<Poll> polls = new ArrayList<>();
    private final UpstreamLink link =
            new UpstreamLink(
                    new RecordingUpstream(), loop, loop::nowMillis, new Metrics(), () -> {});

    private record Poll(
            long leaseUntilMillis, Duration maxWait, CompletableFuture<UpstreamSnapshot> answer) {}

    /** Records polls, which the test answers, and executes no orders. */
    private final class RecordingUpstream implements UpstreamControl {
        @Override
        public CompletableFuture<OrderResult> start(
                String instance, StartOrder order, long token, long leaseUntilMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderResult> stop(String instance, StopOrder order, long token) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<UpstreamSnapshot> poll(
                String instance, long token, long acknowledged, long lease, Duration wait) {
            polls.add(new Poll(lease, wait, new CompletableFuture<>()));
            return polls.get(polls.size() - 1).answer();
        }
    }

    private Poll lastPoll() {
        return polls.get(polls.size() - 1);
    }

    private void answerPolls() {
        for (Poll poll : List.copyOf(polls)) {
            poll.answer().complete(new UpstreamSnapshot(1_000, 1, List.of(), List.of(), true));
        }
        loop.advance(2);
    }

    private void applyOrders(String boot, UpstreamNotice reported) {
        link.applyOrders(
                new AgentOrders(1, 7_000, boot, 0, List.of(), List.of(), true, List.of()),
                reported,
                reported == null ? 0 : 1_000);
        loop.advance(0);
    }

    @BeforeEach
    void confirmTheUpstreamAndGrantALease() {
        applyOrders("", null);
        link.onReport(NOTICE);
        loop.advance(0);
        answerPolls();
        applyOrders(NOTICE.boot(), NOTICE);
        answerPolls();
    }

    @Nested
    class AFailedPoll {
        // Guards against runs that lapse after a lost answer: the poll that settles whether the
        // incarnation is the same carries no lease, and waited for a second.
        @Test
        void isFollowedByOneThatDoesNotWaitAndThenByOneWithTheLease() {
            assertThat(lastPoll().maxWait()).isPositive();
            lastPoll().answer().completeExceptionally(new IOException("lost"));
            loop.advance(300);

            assertThat(lastPoll().maxWait()).isZero();
            assertThat(lastPoll().leaseUntilMillis()).isZero();
            answerPolls();

            assertThat(lastPoll().maxWait()).isPositive();
            assertThat(lastPoll().leaseUntilMillis()).isEqualTo(8_000);
        }
    }
}
