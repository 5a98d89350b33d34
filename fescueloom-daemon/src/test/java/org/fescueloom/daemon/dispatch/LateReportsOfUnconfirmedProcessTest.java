package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fescueloom.fleet.UpstreamState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests late reports of an agent process that received the epoch, was never confirmed, and ended
 * before the present process began.
 */
class LateReportsOfUnconfirmedProcessTest {
    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent first = new FakeAgent("a", bed.loop());
    private final FakeAgent doomed = new FakeAgent("a", bed.loop());
    private final FakeAgent present = new FakeAgent("a", bed.loop());
    private final FakeAgent other = new FakeAgent("b", bed.loop());
    private Dispatcher dispatcher;

    /** The first process, then the doomed one, then the present one on a restarted upstream. */
    @BeforeEach
    void restartAgentTwice() {
        first.process = "first";
        doomed.process = "doomed";
        present.process = "present";
        present.bornMillis = first.bornMillis + 700;
        other.instance = "i-2";
        dispatcher = bed.claim();
        first.exchange(dispatcher);
        doomed.epoch = doomed.report(dispatcher).join().epoch();
        present.epoch = present.report(dispatcher).join().epoch();
        present.exchange(dispatcher);
        bed.submit(dispatcher, JobSamples.singleTask("j"));
        present.exchange(dispatcher);
        assertThat(present.running).hasSize(1);
        present.exchange(dispatcher);
        other.exchange(dispatcher);
    }

    private void deliverLateReports() {
        doomed.state = UpstreamState.DRAINING;
        doomed.report(dispatcher);
        doomed.report(dispatcher);
        bed.loop().advance(100);
    }

    @Test
    void doNotSilenceThePresentProcess() {
        deliverLateReports();

        List<Long> leases = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            leases.add(present.exchange(dispatcher).leaseMillis());
        }
        assertThat(leases).anyMatch(lease -> lease > 0);
    }

    @Test
    void doNotEndTheRunsOfThePresentUpstream() {
        deliverLateReports();

        assertThat(other.exchange(dispatcher).starts()).isEmpty();
    }
}
