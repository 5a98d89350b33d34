package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fescueloom.fleet.UpstreamState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how a dispatcher tells the present process of an agent from an earlier one. */
class AgentProcessOrderTest {
    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent present = new FakeAgent("a", bed.loop());
    private final FakeAgent earlier = new FakeAgent("a", bed.loop());
    private final FakeAgent other = new FakeAgent("b", bed.loop());

    @BeforeEach
    void restartAgentAndUpstream() {
        earlier.process = "earlier";
        present.process = "present";
        present.bornMillis = earlier.bornMillis + 700;
        other.instance = "i-2";
    }

    /** The first report of an earlier process arrives after reports of the present one. */
    @Nested
    class LateFirstReport {
        // Guards against an agent that gets no lease for the rest of an epoch: the process that
        // reported first counted as the earlier one.
        @Test
        void doesNotSilenceThePresentProcess() {
            Dispatcher dispatcher = bed.claim();
            present.exchange(dispatcher);
            earlier.report(dispatcher);
            bed.loop().advance(100);

            List<Long> leases = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                leases.add(present.exchange(dispatcher).leaseMillis());
            }
            assertThat(leases).anyMatch(lease -> lease > 0);
        }

        // Guards against a task that runs twice: the upstream in the late report was taken for a
        // later incarnation, and the runs of the present one were ended.
        @Test
        void doesNotEndTheRunsOfThePresentUpstream() {
            Dispatcher first = bed.claim();
            present.exchange(first);
            bed.submit(first, JobSamples.singleTask("j"));
            present.exchange(first);
            assertThat(present.running).hasSize(1);
            first.close();
            Dispatcher second = bed.claim();
            present.exchange(second);
            other.exchange(second);

            earlier.state = UpstreamState.DRAINING;
            earlier.report(second);
            bed.loop().advance(100);

            assertThat(other.exchange(second).starts()).isEmpty();
        }
    }

    /** Two reports of an earlier process that has learned the epoch arrive late. */
    @Nested
    class LateReportsWithTheEpoch {
        // Guards against a process that is replaced by one that has ended: reports of the present
        // process in between did not count.
        @Test
        void doNotReplaceAPresentProcessThatReportsInBetween() {
            Dispatcher dispatcher = bed.claim();
            present.epoch = present.exchange(dispatcher).epoch();
            earlier.epoch = earlier.report(dispatcher).join().epoch();
            present.exchange(dispatcher);
            earlier.report(dispatcher);
            present.exchange(dispatcher);

            assertThat(present.exchange(dispatcher).leaseMillis()).isPositive();
        }
    }

    /** A report of an earlier process is the first one of its agent to a new dispatcher. */
    @Nested
    class LateReportBeforeAnyOther {
        // Guards against a task that runs twice: the upstream in a report from before the takeover
        // was taken for a later incarnation, and the runs of the present one were ended.
        @Test
        void doesNotEndTheRunsOfThePresentUpstream() {
            Dispatcher first = bed.claim();
            present.exchange(first);
            bed.submit(first, JobSamples.singleTask("j"));
            present.exchange(first);
            assertThat(present.running).hasSize(1);
            first.close();
            Dispatcher second = bed.claim();
            other.exchange(second);

            earlier.state = UpstreamState.DRAINING;
            earlier.report(second);
            bed.loop().advance(100);

            assertThat(other.exchange(second).starts()).isEmpty();
        }
    }

    @Nested
    class LaterProcess {
        private final Dispatcher dispatcher = bed.claim();

        @BeforeEach
        void replaceTheEarlierProcess() {
            earlier.epoch = earlier.exchange(dispatcher).epoch();
            present.epoch = present.report(dispatcher).join().epoch();
        }

        @Test
        void getsALeaseOnceItHasReceivedTheEpoch() {
            assertThat(present.exchange(dispatcher).leaseMillis()).isPositive();
        }

        @Test
        void isAnsweredAtOnceBeforeItIsConfirmed() {
            FakeAgent next = new FakeAgent("a", bed.loop());
            next.process = "next";

            assertThat(next.report(dispatcher)).isCompleted();
        }

        @Test
        void replacesTheEarlierOneForGood() {
            present.exchange(dispatcher);
            for (int i = 0; i < 3; i++) {
                assertThat(earlier.exchange(dispatcher).leaseMillis()).isZero();
            }

            assertThat(present.exchange(dispatcher).leaseMillis()).isPositive();
        }
    }
}
