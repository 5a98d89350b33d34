package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.Test;

/**
 * Tests the calls that reach an upstream which has started again under its identifier, and late
 * start orders that were meant for the incarnation before.
 */
class RestartedUpstreamPollTest {
    private static final long BORN = 1_780_000_000_000L;
    private static final long LATER_BORN = BORN + 700;
    private static final long LEASE_MILLIS = 7_000;
    private static final long RUN_MILLIS = 1_000;
    private static final String ENDED_TASK = "00000000000000aa.0.0.0";
    private static final String LATE_TASK = "00000000000000aa.0.0.1";

    private final InMemoryUpstream upstream = new InMemoryUpstream("i-1", RUN_MILLIS);

    /** An agent process, with its own event loop. */
    private final class Process {
        private final ManualScheduler loop = new ManualScheduler();
        private final UpstreamLink link =
                new UpstreamLink(upstream, loop, Clocks::monotonicMillis, new Metrics(), () -> {});
        private long reports;

        private void hear(long born) {
            link.onReport(
                    new UpstreamNotice(
                            "i-1",
                            born,
                            "s",
                            "z",
                            UpstreamState.READY,
                            Resources.NONE,
                            List.of(),
                            "",
                            0,
                            ++reports));
        }

        /** Receives orders for an incarnation; start orders are sent if it is the present one. */
        private void receive(long born, long acknowledged, String... tasks) {
            String boot = "i-1@" + born;
            List<StartOrder> starts =
                    List.of(tasks).stream()
                            .map(task -> new StartOrder(task, 1, boot, "payload", ""))
                            .toList();
            link.applyOrders(
                    new AgentOrders(
                            1,
                            LEASE_MILLIS,
                            boot,
                            acknowledged,
                            starts,
                            List.of(),
                            true,
                            List.of()),
                    link.notice(),
                    link.upstreamClockMillis(Clocks.monotonicMillis()));
            loop.advance(10);
        }

        private AgentReport report() {
            return link.report("a", "p", 1, 0);
        }

        /** Connects to the upstream, and waits until it was polled. */
        private void connect(long born) {
            hear(born);
            receive(born, 0);
            loop.advance(50);
            hear(born);
            loop.advance(50);
            receive(born, 0);
            assertThat(report().notice().boot()).isEqualTo("i-1@" + born);
            assertThat(report().looked()).isTrue();
        }
    }

    // The poll that finds out about the restart must not acknowledge ends of the new incarnation.
    @Test
    void keepsTheEndOfALateRunUntilItIsListed() {
        upstream.restart(BORN);
        Process agent = new Process();
        agent.connect(BORN);
        agent.receive(BORN, 0, ENDED_TASK);
        upstream.advanceClock(RUN_MILLIS);
        agent.loop.advance(300);
        assertThat(agent.link.lists(ENDED_TASK, 1)).isTrue();
        agent.receive(BORN, 1);
        upstream.delayStarts();
        agent.receive(BORN, 1, LATE_TASK);
        assertThat(upstream.delayedStartCount()).isEqualTo(1);

        upstream.restart(LATER_BORN);
        upstream.runDelayedStarts();
        assertThat(upstream.runningTasks()).containsExactly(LATE_TASK);
        upstream.advanceClock(RUN_MILLIS);
        agent.hear(LATER_BORN);
        agent.loop.advance(1_000);

        assertThat(agent.report().notice().boot()).isEqualTo("i-1@" + LATER_BORN);
        assertThat(agent.report().looked()).isTrue();
        assertThat(agent.report().ended()).extracting(EndedRun::task).containsExactly(LATE_TASK);
    }

    // A process of the agent that was frozen must not get orders for an ended incarnation accepted
    // by raising its token: another process has polled the next one, and found no such run there.
    @Test
    void refusesOrdersForTheIncarnationBeforeOfAProcessThatRaisedItsToken() {
        upstream.restart(BORN);
        Process frozen = new Process();
        frozen.connect(BORN);
        upstream.restart(LATER_BORN);
        Process later = new Process();
        later.connect(LATER_BORN);
        assertThat(later.report().running()).isEmpty();

        for (int i = 0; i < 60 && frozen.link.isPresent("i-1@" + BORN); i++) {
            frozen.receive(BORN, 0, LATE_TASK);
            frozen.loop.advance(40);
        }

        assertThat(upstream.runningTasks()).isEmpty();
    }

    // The clock is set back before the second start; the agent restarts with the third one.
    @Test
    void refusesALateOrderForTheIncarnationBeforeAfterTheAgentRestarted() {
        upstream.restart(BORN);
        Process earlier = new Process();
        earlier.connect(BORN);
        long secondBorn = BORN - 60_000;
        upstream.restart(secondBorn);
        earlier.connect(secondBorn);
        upstream.delayStarts();
        earlier.receive(secondBorn, 0, LATE_TASK);
        assertThat(upstream.delayedStartCount()).isEqualTo(1);

        long thirdBorn = secondBorn + 5_000;
        upstream.restart(thirdBorn);
        Process later = new Process();
        later.connect(thirdBorn);
        assertThat(later.report().running()).isEmpty();
        upstream.runDelayedStarts();

        assertThat(upstream.runningTasks()).isEmpty();
    }
}
