package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how long a new dispatcher allows for leases that the one before it may still grant. */
class LeaseOfEarlierDispatcherTest {
    private static final long LATE_GRANT_MILLIS = 1_000;

    /** As in {@link DispatcherBed}. */
    private static final long MAX_PROOF_AGE_MILLIS = 6_000;

    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("a", bed.loop());
    private final FakeAgent other = new FakeAgent("b", bed.loop());

    @Nested
    class AnAgentWhoseFirstReplyIsLost {
        // Guards against a run that is started twice: the first lease of a new dispatcher replaced
        // the later time until which its predecessor may grant one.
        @Test
        void keepsItsRunsUntilTheLeaseOfTheEarlierDispatcherHasExpired() {
            final Dispatcher first = bed.claim();
            agent.exchange(first);
            bed.submit(first, JobSamples.singleTask("j"));
            agent.exchange(first);
            assertThat(agent.running).hasSize(1);
            other.instance = "i-2";
            final Dispatcher second = bed.claim();
            agent.report(second);
            bed.loop().advance(LATE_GRANT_MILLIS);

            final long sentMillis = bed.loop().nowMillis();
            AgentOrders lateOrders = replyOf(first);

            assertThat(lateOrders.leaseMillis()).isPositive();
            long expiryMillis = sentMillis + lateOrders.leaseMillis();
            while (bed.loop().nowMillis() + 100 < expiryMillis) {
                CompletableFuture<AgentOrders> reply = other.report(second);
                bed.loop().advance(100);
                if (reply.isDone()) {
                    assertThat(reply.join().starts()).isEmpty();
                }
            }
        }

        // A new process of the agent may accept a lease of the dispatcher before, although an
        // earlier process has received the new epoch.
        @Test
        void losesItsRunsOnceNoLeaseOfEitherDispatcherCanBeInForce() {
            Dispatcher first = bed.claim();
            agent.exchange(first);
            bed.submit(first, JobSamples.singleTask("j"));
            agent.exchange(first);
            other.instance = "i-2";
            Dispatcher second = bed.claim();
            long lastLeaseMillis = bed.loop().nowMillis() + MAX_PROOF_AGE_MILLIS;
            agent.epoch = agent.exchange(second).epoch();
            agent.exchange(second);

            List<StartOrder> starts = new ArrayList<>();
            while (starts.isEmpty()) {
                starts.addAll(other.exchange(second).starts());
            }
            assertThat(starts).extracting(StartOrder::run).containsExactly(2);
            assertThat(bed.loop().nowMillis() - lastLeaseMillis).isBetween(7_000L, 10_000L);
        }

        /** Reports twice, since a report completes the reply to the one before it. */
        private AgentOrders replyOf(Dispatcher dispatcher) {
            CompletableFuture<AgentOrders> reply = agent.report(dispatcher);
            agent.report(dispatcher);
            bed.loop().advance(0);
            return reply.join();
        }
    }
}
