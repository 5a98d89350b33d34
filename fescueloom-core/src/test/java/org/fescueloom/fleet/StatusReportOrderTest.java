package org.fescueloom.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StatusReportOrderTest {
    private static final long LONG_AFTER = 1_000_000;

    private final StatusReportOrder order = new StatusReportOrder();

    private static UpstreamNotice report(String service, UpstreamState state, long sequence) {
        return new UpstreamNotice(
                "i", 5, service, "z", state, Resources.NONE, List.of(), "", 0, sequence);
    }

    private boolean accept(long sequence, long nowMillis) {
        return order.accept(report("s", UpstreamState.READY, sequence), nowMillis);
    }

    @Nested
    class SequenceNumbers {
        @Test
        void higherOnesHold() {
            assertThat(accept(1, 0)).isTrue();
            assertThat(accept(2, 1)).isTrue();
        }

        @Test
        void repeatedAndLowerOnesAreLate() {
            accept(7, 0);

            assertThat(accept(7, 1)).isFalse();
            assertThat(accept(6, LONG_AFTER)).isFalse();
        }

        // Guards against a draining upstream that is given tasks because earlier reports arrive in
        // order after a partition.
        @Test
        void lateReportsInOrderDoNotReplaceANewerOneWhileTheUpstreamGoesOn() {
            order.accept(report("s", UpstreamState.DRAINING, 8), 0);

            for (int sequence = 1; sequence < 8; sequence++) {
                assertThat(accept(sequence, 1_000)).isFalse();
            }
            assertThat(order.accept(report("s", UpstreamState.DRAINING, 9), 1_500)).isTrue();
        }
    }

    @Nested
    class OtherWriters {
        // Guards against issue 53: one report with a high sequence number silenced the upstream, so
        // that its machine got no task any more.
        @Test
        void aHighSequenceNumberIsOvercomeByReportsThatGoOn() {
            accept(5, 0);
            accept(1L << 40, 100);

            assertThat(accept(6, 1_500)).isFalse();
            assertThat(accept(7, 3_000)).isFalse();
            assertThat(accept(8, 5_100)).isTrue();
            assertThat(accept(9, 6_600)).isTrue();
        }

        // Guards against issue 53: one report that names another service took the machine out.
        @Test
        void aReportOfAnotherKindDoesNotHold() {
            accept(5, 0);

            assertThat(order.accept(report("other", UpstreamState.READY, 6), 1)).isFalse();
            assertThat(accept(6, 2)).isTrue();
        }

        @Test
        void theKindOfTheUpstreamHoldsIfAnotherWriterCameFirst() {
            order.accept(report("other", UpstreamState.READY, 1), 0);

            assertThat(accept(2, 1_500)).isFalse();
            assertThat(accept(3, 3_000)).isFalse();
            assertThat(accept(4, 5_000)).isTrue();
        }

        @Test
        void contradictionsDoNotAddUpWhileTheUpstreamGoesOn() {
            for (int i = 0; i < 20; i++) {
                assertThat(accept(10 + i, 1_000L * i)).isTrue();
                assertThat(order.accept(report("other", UpstreamState.READY, i), 1_000L * i))
                        .isFalse();
            }
        }
    }
}
