package org.fescueloom.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.Test;

/** Tests that reports of another writer do not silence an upstream for good. */
class StatusReportRepeatTest {
    private static final long REPORT_INTERVAL_MILLIS = 1_500;
    private static final long FOREIGN_SEQUENCE = 1_000_000;

    private final StatusReportOrder order = new StatusReportOrder();

    private static UpstreamNotice report(long sequence) {
        return new UpstreamNotice(
                "i-1",
                5,
                "s",
                "z",
                UpstreamState.READY,
                Resources.NONE,
                List.of(),
                "",
                0,
                sequence);
    }

    private boolean anyOfFortyReportsAccepted() {
        boolean accepted = false;
        for (int i = 1; i <= 40; i++) {
            accepted |= order.accept(report(10 + i), i * REPORT_INTERVAL_MILLIS);
        }
        return accepted;
    }

    @Test
    void aHighSequenceNumberThatArrivesOnceIsOvercome() {
        order.accept(report(10), 0);
        order.accept(report(FOREIGN_SEQUENCE), 0);

        assertThat(anyOfFortyReportsAccepted()).isTrue();
    }

    @Test
    void aHighSequenceNumberThatArrivesTwiceIsOvercome() {
        order.accept(report(10), 0);
        order.accept(report(FOREIGN_SEQUENCE), 0);
        order.accept(report(FOREIGN_SEQUENCE), 0);

        assertThat(anyOfFortyReportsAccepted()).isTrue();
    }

    @Test
    void twoHighSequenceNumbersInReverseOrderAreOvercome() {
        order.accept(report(10), 0);
        order.accept(report(FOREIGN_SEQUENCE), 0);
        order.accept(report(FOREIGN_SEQUENCE - 1), 0);

        assertThat(anyOfFortyReportsAccepted()).isTrue();
    }
}
