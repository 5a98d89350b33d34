package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Tests an agent process that starts after a takeover and knows no epoch, so that it accepts a
 * lease of the dispatcher before, although the process before it had received the new epoch.
 */
class LeaseOfEarlierDispatcherToNewProcessTest {
    /** The dispatcher before may grant leases for 6 s after its claim was confirmed last. */
    private static final long LATE_GRANT_MILLIS = 4_000;

    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("a", bed.loop());
    private final FakeAgent other = new FakeAgent("b", bed.loop());

    @Test
    void keepsItsRunsUntilThatLeaseHasExpired() {
        final Dispatcher first = bed.claim();
        agent.exchange(first);
        bed.submit(first, JobSamples.job("j", 1, 60_000, false, false));
        agent.exchange(first);
        assertThat(agent.running).hasSize(1);
        other.instance = "i-2";
        final Dispatcher second = bed.claim();
        agent.epoch = replyOf(agent, second).epoch();
        assertThat(replyOf(agent, second).leaseMillis()).isPositive();
        bed.loop().advance(LATE_GRANT_MILLIS);

        FakeAgent restarted = new FakeAgent("a", bed.loop());
        restarted.process = "restarted";
        restarted.running = agent.running;
        restarted.epoch = restarted.report(first).join().epoch();
        final long sentMillis = bed.loop().nowMillis();
        AgentOrders lateOrders = replyOf(restarted, first);

        assertThat(lateOrders.leaseMillis()).isPositive();
        long expiryMillis = sentMillis + lateOrders.leaseMillis();
        while (bed.loop().nowMillis() + 100 < expiryMillis) {
            CompletableFuture<AgentOrders> reply = other.report(second);
            bed.loop().advance(100);
            if (reply.isDone()) {
                assertThat(reply.join().starts())
                        .as("%d ms before the lease expires", expiryMillis - bed.loop().nowMillis())
                        .isEmpty();
            }
        }
    }

    /** Reports twice, since a report completes the reply to the one before it. */
    private AgentOrders replyOf(FakeAgent sender, Dispatcher dispatcher) {
        CompletableFuture<AgentOrders> reply = sender.report(dispatcher);
        sender.report(dispatcher);
        bed.loop().advance(0);
        return reply.join();
    }
}
