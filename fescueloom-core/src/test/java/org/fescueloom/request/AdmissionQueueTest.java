package org.fescueloom.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final long MILLI = 1_000_000L;
    private static final AdmissionLimits LIMITS = new AdmissionLimits(1_000, 500, 1L << 20);
    private static final Map<String, Double> SHARES = Map.of("parks", 0.6, "roads", 0.3);

    private static AdmissionQueue<Integer> queue(AdmissionLimits limits, int slots) {
        AdmissionQueue<Integer> queue =
                new AdmissionQueue<>(limits, c -> SHARES.getOrDefault(c, 0.0));
        queue.setSlots(slots);
        return queue;
    }

    private static QueuedAttempt<Integer> attempt(int work, String customer, long deadlineMillis) {
        return new QueuedAttempt<>(work, customer, "trap", 0, deadlineMillis * MILLI, 10);
    }

    private static FailureType refusal(Runnable call) {
        try {
            call.run();
            return null;
        } catch (SchedulerException e) {
            assertThat(e.retryAfterMillis()).isPositive();
            return e.type();
        }
    }

    @Property(seed = "42", tries = 500)
    void startsAttemptsOfACustomerInDeadlineOrder(
            @ForAll @Size(max = 50) List<@IntRange(min = 10_000, max = 99_999) Integer> deadlines) {
        AdmissionQueue<Integer> queue = queue(LIMITS, 1);
        for (int i = 0; i < deadlines.size(); i++) {
            queue.offer(attempt(i, "parks", deadlines.get(i)), 0);
        }
        List<Integer> started = new ArrayList<>();
        for (var next = queue.poll(); next.isPresent(); next = queue.poll()) {
            started.add(deadlines.get(next.get().work()));
            assertThat(queue.poll()).isEmpty();
            queue.finish(next.get(), MILLI, true, 0);
        }
        assertThat(started).isSorted().hasSameSizeAs(deadlines);
        assertThat(queue.queuedBytes()).isZero();
        assertThat(queue.running()).isZero();
    }

    @Nested
    class Shares {
        /**
         * Runs attempts of one millisecond in rounds that fill all slots, and counts the starts by
         * customer.
         */
        private Map<String, Integer> serveRounds(AdmissionQueue<Integer> queue, int rounds) {
            Map<String, Integer> starts = new HashMap<>();
            for (int round = 0; round < rounds; round++) {
                List<QueuedAttempt<Integer>> running = new ArrayList<>();
                for (var next = queue.poll(); next.isPresent(); next = queue.poll()) {
                    running.add(next.get());
                    starts.merge(next.get().customer(), 1, Integer::sum);
                }
                running.forEach(a -> queue.finish(a, MILLI, true, 0));
            }
            return starts;
        }

        @Test
        void dividesSlotsByGuaranteedShareUnderLoad() {
            AdmissionQueue<Integer> queue = queue(LIMITS, 3);
            for (int i = 0; i < 300; i++) {
                queue.offer(attempt(i, "parks", 99_999), 0);
                queue.offer(attempt(i, "roads", 99_999), 0);
            }
            Map<String, Integer> starts = serveRounds(queue, 100);
            assertThat(starts.get("parks")).isBetween(198, 202);
            assertThat(starts.get("roads")).isBetween(98, 102);
        }

        @Test
        void lendsAnUnusedShareAndReturnsItWithTheNextFreeSlot() {
            AdmissionQueue<Integer> queue = queue(LIMITS, 3);
            for (int i = 0; i < 300; i++) {
                queue.offer(attempt(i, "nobody", 99_999), 0);
            }
            assertThat(serveRounds(queue, 10)).containsEntry("nobody", 30);
            var borrowed = queue.poll().orElseThrow();
            for (int i = 0; i < 10; i++) {
                queue.offer(attempt(i, "parks", 99_999), 0);
            }
            queue.finish(borrowed, MILLI, true, 0);
            assertThat(queue.poll().orElseThrow().customer()).isEqualTo("parks");
            assertThat(queue.poll().orElseThrow().customer()).isEqualTo("parks");
        }
    }

    @Nested
    class Refusals {
        @Test
        void refusesAttemptsBeyondEachLimit() {
            AdmissionQueue<Integer> queue = queue(new AdmissionLimits(3, 2, 35), 1);
            queue.offer(attempt(1, "parks", 99_999), 0);
            queue.offer(attempt(2, "parks", 99_999), 0);
            assertThat(refusal(() -> queue.offer(attempt(3, "parks", 99_999), 0)))
                    .isEqualTo(FailureType.CUSTOMER_QUEUE_FULL);
            queue.offer(attempt(4, "roads", 99_999), 0);
            assertThat(refusal(() -> queue.offer(attempt(5, "roads", 99_999), 0)))
                    .isEqualTo(FailureType.UPSTREAM_FULL);
            assertThat(queue.queuedBytes()).isEqualTo(30);
        }

        @Test
        void refusesAnUnreachableDeadlineImmediately() {
            AdmissionQueue<Integer> queue = queue(LIMITS, 1);
            queue.offer(attempt(0, "parks", 99_999), 0);
            queue.finish(queue.poll().orElseThrow(), 100 * MILLI, true, 0);
            for (int i = 0; i < 10; i++) {
                queue.offer(attempt(i, "parks", 5_000), 0);
            }
            queue.poll();
            assertThat(refusal(() -> queue.offer(attempt(11, "parks", 50), 0)))
                    .isEqualTo(FailureType.DEADLINE_UNREACHABLE);
            assertThat(refusal(() -> queue.offer(attempt(12, "parks", -1), 0)))
                    .isEqualTo(FailureType.DEADLINE_PASSED);
            assertThat(queue.removeWithUnreachableDeadline(4_990 * MILLI)).hasSize(9);
            assertThat(queue.queued()).isZero();
        }

        @Test
        void acceptsAClassAgainAfterOneSlowAttempt() {
            AdmissionQueue<Integer> queue = queue(LIMITS, 1);
            queue.offer(attempt(0, "parks", 99_999), 0);
            queue.finish(queue.poll().orElseThrow(), 5_000 * MILLI, true, 0);
            assertThat(refusal(() -> queue.offer(attempt(1, "parks", 1_000), 0)))
                    .isEqualTo(FailureType.DEADLINE_UNREACHABLE);
            // The expected service time halves every 2 s: after 10 s, 5000 ms have become 156 ms.
            queue.offer(attempt(2, "parks", 11_000), 10_000 * MILLI);
            assertThat(queue.queued()).isEqualTo(1);
        }

        @Test
        void rejectsLimitsThatAreNotPositive() {
            assertThatThrownBy(() -> new AdmissionLimits(0, 1, 1))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
