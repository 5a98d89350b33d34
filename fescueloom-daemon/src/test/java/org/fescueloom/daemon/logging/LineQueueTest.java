package org.fescueloom.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LineQueueTest {
    private long now;

    @Nested
    class Bounds {
        @Test
        void dropWhatDoesNotFit() throws InterruptedException {
            LineQueue queue = new LineQueue(2, 100, () -> now);
            for (int i = 0; i < 5; i++) {
                queue.add("line " + i, true);
            }

            assertThat(queue.takeDropped()).isEqualTo(3);
            assertThat(queue.takeDropped()).isZero();
            assertThat(queue.take()).isEqualTo("line 0");
        }

        @Test
        void limitTheLinesOfASecondButNotWarnings() {
            LineQueue queue = new LineQueue(100, 3, () -> now);
            for (int i = 0; i < 10; i++) {
                queue.add("info", false);
            }
            queue.add("warning", true);
            assertThat(queue.takeDropped()).isEqualTo(7);

            now = 1_000;
            queue.add("info", false);
            assertThat(queue.takeDropped()).isZero();
        }
    }

    @Nested
    class Closing {
        @Test
        void letsTheRestBeTaken() throws InterruptedException {
            LineQueue queue = new LineQueue(2, 100, () -> now);
            queue.add("last", false);
            queue.close();

            assertThat(queue.take()).isEqualTo("last");
            assertThat(queue.take()).isNull();
        }
    }
}
