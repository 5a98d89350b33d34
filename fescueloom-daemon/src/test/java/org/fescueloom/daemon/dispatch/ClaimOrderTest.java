package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimOrderTest {
    private static final List<String> ENTRIES = List.of("a", "b", "c");

    private final ClaimOrder order = new ClaimOrder();

    @Nested
    class EntriesOfEqualMachines {
        @Test
        void followTheOrderOfAddresses() {
            assertThat(order.turn(ENTRIES, "", "c")).isEqualTo(2);
            assertThat(order.turn(ENTRIES, "a", "c")).isEqualTo(1);
            assertThat(order.turn(ENTRIES, "c", "a")).isZero();
        }
    }

    /** Small and large machines serve callers side by side. */
    @Nested
    class EntriesOfUnequalMachines {
        @Test
        void followTheOrderOfProcessorTime() {
            order.recordCores("a", 0.27);
            order.recordCores("b", 0.36);
            order.recordCores("c", 0.9);

            assertThat(order.turn(ENTRIES, "", "c")).isZero();
            assertThat(order.turn(ENTRIES, "", "b")).isEqualTo(1);
            assertThat(order.turn(ENTRIES, "", "a")).isEqualTo(2);
            assertThat(order.turn(ENTRIES, "c", "a")).isEqualTo(1);
        }

        @Test
        void treatUnknownMachinesAsEqual() {
            order.recordCores("b", 0.9);
            order.recordCores("a", 0);

            assertThat(order.turn(ENTRIES, "", "b")).isEqualTo(1);
        }
    }

    @Nested
    class UnavailableEntries {
        @Test
        void haveNoTurn() {
            order.markUnavailable("a");
            assertThat(order.turn(ENTRIES, "", "b")).isZero();
            assertThat(order.turn(ENTRIES, "", "c")).isEqualTo(1);

            order.clearUnavailable();
            assertThat(order.turn(ENTRIES, "", "c")).isEqualTo(2);
        }
    }
}
