package org.fescueloom.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LineQueueTest {
    private long nowMillis;

    @Nested
    class Bounds {
        @Test
        void dropLinesBeyondTheCapacity() throws InterruptedException {
            LineQueue queue = new LineQueue(2, 100, () -> nowMillis);
            for (int i = 0; i < 5; i++) {
                queue.add("line " + i, true);
            }

            assertThat(queue.takeDroppedCount()).isEqualTo(3);
            assertThat(queue.takeDroppedCount()).isZero();
            assertThat(queue.take()).isEqualTo("line 0");
        }

        @Test
        void limitLinesPerSecondExceptWarnings() {
            LineQueue queue = new LineQueue(100, 3, () -> nowMillis);
            for (int i = 0; i < 10; i++) {
                queue.add("info", false);
            }
            queue.add("warning", true);
            assertThat(queue.takeDroppedCount()).isEqualTo(7);

            nowMillis = 1_000;
            queue.add("info", false);
            assertThat(queue.takeDroppedCount()).isZero();
        }
    }

    @Nested
    class Closing {
        @Test
        void leavesTheQueuedLinesToTake() throws InterruptedException {
            LineQueue queue = new LineQueue(2, 100, () -> nowMillis);
            queue.add("last", false);
            queue.close();

            assertThat(queue.take()).isEqualTo("last");
            assertThat(queue.take()).isNull();
        }
    }
}
