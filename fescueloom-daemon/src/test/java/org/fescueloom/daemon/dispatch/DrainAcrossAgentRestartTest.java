package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fescueloom.fleet.UpstreamState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests whether an upstream that leaves gets tasks after its agent has started again. */
class DrainAcrossAgentRestartTest {
    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent before = new FakeAgent("a", bed.loop());
    private final FakeAgent after = new FakeAgent("a", bed.loop());

    @Nested
    class LateStatusReport {
        // Guards against tasks on an upstream that leaves: the first status report that a restarted
        // agent received was older than the one in which the upstream said that it leaves.
        @ParameterizedTest
        @EnumSource(names = {"DRAINING", "LEAVING"})
        void doesNotMakeALeavingUpstreamReady(UpstreamState state) {
            Dispatcher dispatcher = bed.claim();
            before.sequence = 9;
            before.state = state;
            before.exchange(dispatcher);
            after.process = "after";
            after.exchange(dispatcher);
            assertThat(after.sequence).isLessThan(before.sequence);
            bed.submit(dispatcher, JobSamples.singleTask("j"));

            List<StartOrder> starts = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                starts.addAll(after.exchange(dispatcher).starts());
            }

            assertThat(starts).isEmpty();
        }

        @Test
        void holdsOnceNoNewerOneFollows() {
            Dispatcher dispatcher = bed.claim();
            before.sequence = 9_000;
            before.state = UpstreamState.DRAINING;
            before.exchange(dispatcher);
            after.process = "after";
            after.exchange(dispatcher);
            bed.submit(dispatcher, JobSamples.singleTask("j"));

            List<StartOrder> starts = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                starts.addAll(after.exchange(dispatcher).starts());
            }

            assertThat(starts).hasSize(1);
        }
    }
}
