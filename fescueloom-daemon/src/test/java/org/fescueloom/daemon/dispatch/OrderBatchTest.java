package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.json.Json;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderBatchTest {
    private static final String BOOT = "i-1@1780000000000";

    private final OrderBatch batch = new OrderBatch();

    private static StartOrder start(int number, String payload) {
        return new StartOrder("00000000000000a0.0.0." + number, 1, BOOT, payload, "c");
    }

    private AgentOrders orders() {
        return new AgentOrders(
                1, 7_000, BOOT, 0, batch.starts(), batch.stops(), batch.complete(), List.of());
    }

    @Nested
    class ALargeJob {
        @Test
        void fillsTheBatchUpToItsLength() {
            int number = 0;
            while (batch.add(start(number, "\u0001".repeat(4_000)))) {
                number++;
            }

            assertThat(batch.complete()).isFalse();
            assertThat(batch.starts()).hasSizeGreaterThan(300);
            // The orders are in an envelope of less than 1 KB.
            assertThat(Json.write(orders()).length)
                    .isLessThan(OrderBatch.MAX_BYTES + 1_024)
                    .isGreaterThan(OrderBatch.MAX_BYTES / 2);
        }
    }

    @Nested
    class TheFirstOrder {
        @Test
        void alwaysFits() {
            assertThat(batch.add(start(0, "x".repeat(2 * OrderBatch.MAX_BYTES)))).isTrue();
            assertThat(batch.complete()).isTrue();
            assertThat(batch.add(new StopOrder("a.0.0.0", 1, BOOT))).isFalse();
        }
    }
}
