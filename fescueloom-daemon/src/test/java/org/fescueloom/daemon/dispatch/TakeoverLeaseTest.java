package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.fescueloom.fleet.UpstreamState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how soon a new dispatcher replies to agents, whose runs need a new lease. */
class TakeoverLeaseTest {
    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("a", bed.loop());

    private CompletableFuture<AgentOrders> reportTo(Dispatcher dispatcher) {
        CompletableFuture<AgentOrders> reply = agent.report(dispatcher);
        bed.loop().advance(0);
        return reply;
    }

    @Nested
    class AnUpstreamWithRuns {
        private Dispatcher second;

        @BeforeEach
        void replaceTheDispatcherThatStartedARun() {
            Dispatcher first = bed.claim();
            agent.exchange(first);
            bed.submit(first, JobSamples.singleTask("j"));
            agent.exchange(first);
            assertThat(agent.running).hasSize(1);
            first.close();
            second = bed.claim();
        }

        // Guards against runs that lapse after a restart of everything: the reply with the new
        // lease waited for a second, while less was left of the old one.
        @Test
        void getsItsFirstLeaseAtOnce() {
            CompletableFuture<AgentOrders> reply = reportTo(second);

            assertThat(reply).isCompleted();
            assertThat(reply.join().leaseMillis()).isPositive();
        }

        @Test
        void waitsForOrdersOnceItHasALease() {
            reportTo(second);

            assertThat(reportTo(second)).isNotCompleted();
        }
    }

    @Nested
    class AnUpstreamThatEndedBeforeTheTakeover {
        // Guards against a task that waits for a second after a takeover, because reports without
        // the epoch end no runs.
        @Test
        void isAnsweredAtOnceSoThatItsRunsAreStartedElsewhere() {
            Dispatcher first = bed.claim();
            agent.exchange(first);
            bed.submit(first, JobSamples.singleTask("j"));
            agent.exchange(first);
            agent.exchange(first);
            first.close();
            agent.state = UpstreamState.GONE;
            Dispatcher second = bed.claim();

            assertThat(reportTo(second)).isCompleted();
        }
    }

    @Nested
    class AnAgentThatHasNotPolled {
        // Guards against the same lapses: an agent that has restarted polls its upstream only after
        // the first reply.
        @Test
        void isAnsweredAtOnce() {
            agent.polled = false;
            Dispatcher dispatcher = bed.claim();

            assertThat(reportTo(dispatcher)).isCompleted();
        }

        @Test
        void isAnsweredAtOnceOnlyOnce() {
            agent.polled = false;
            Dispatcher dispatcher = bed.claim();
            reportTo(dispatcher);

            assertThat(reportTo(dispatcher)).isNotCompleted();
        }
    }

    @Test
    void anIdleUpstreamWaitsForOrders() {
        assertThat(reportTo(bed.claim())).isNotCompleted();
    }
}
