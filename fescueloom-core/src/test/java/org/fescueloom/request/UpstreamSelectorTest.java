package org.fescueloom.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fescueloom.wire.AgentStatus;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamSelectorTest {
    private static final long MILLI = 1_000_000L;
    private static final List<String> ALL = List.of("a", "b", "c");

    private final UpstreamSelector selector =
            new UpstreamSelector(SelectionPolicy.EXPECTED_COMPLETION, new Random(3));

    private void recordMeasurement(
            String upstream, int running, int queued, long micros, long nowNanos) {
        AgentStatus status = new AgentStatus(upstream, 2, running, queued, micros);
        selector.update(new UpstreamMeasurement(status, MILLI, nowNanos));
    }

    private String choose(long nowNanos) {
        return selector.select(ALL, nowNanos).orElseThrow().upstream();
    }

    @Nested
    class Selection {
        @Test
        void choosesTheEarliestExpectedCompletion() {
            recordMeasurement("a", 0, 0, 50_000, 0);
            recordMeasurement("b", 2, 3, 10_000, 0);
            recordMeasurement("c", 2, 0, 20_000, 0);
            // Starts one attempt at each upstream, so that no upstream needs a trial.
            ALL.forEach(u -> selector.recordStart(u, 0));
            ALL.forEach(u -> selector.recordEnd(u, AttemptResult.SUCCESS, 0));
            recordMeasurement("a", 0, 0, 50_000, 0);
            recordMeasurement("b", 2, 3, 10_000, 0);
            recordMeasurement("c", 2, 0, 20_000, 0);
            // The expected times are 51 ms for a and 31 ms for b and c.
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 100; i++) {
                counts.merge(choose(MILLI), 1, Integer::sum);
            }
            assertThat(counts).containsOnlyKeys("b", "c");
        }

        @Test
        void countsAttemptsSentSinceTheLastMeasurement() {
            recordMeasurement("a", 0, 0, 10_000, 0);
            recordMeasurement("b", 0, 0, 10_000, 0);
            recordMeasurement("c", 0, 0, 10_000, 0);
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 12; i++) {
                String chosen = choose(0);
                selector.recordStart(chosen, 0);
                counts.merge(chosen, 1, Integer::sum);
            }
            assertThat(counts.values()).allMatch(n -> n >= 3 && n <= 5);
        }
    }

    @Nested
    class FailingUpstreams {
        @Test
        void drawNoLoadWhenTheyFailFastAndAreRetriedRarely() {
            int failures = 0;
            boolean[] broken = {true};
            for (int i = 0; i < 20_000; i++) {
                long now = i * MILLI;
                recordMeasurement("a", 0, 0, 100, now);
                recordMeasurement("b", 1, 0, 20_000, now);
                String chosen = choose(now);
                selector.recordStart(chosen, now);
                boolean fails = chosen.equals("a") && broken[0];
                failures += fails ? 1 : 0;
                selector.recordEnd(
                        chosen, fails ? AttemptResult.FAILURE : AttemptResult.SUCCESS, now);
            }
            assertThat(failures).isBetween(5, 20);
            broken[0] = false;
            int served = 0;
            for (int i = 20_000; i < 70_000; i++) {
                long now = i * MILLI;
                recordMeasurement("a", 0, 0, 100, now);
                String chosen = choose(now);
                selector.recordStart(chosen, now);
                selector.recordEnd(chosen, AttemptResult.SUCCESS, now);
                served += chosen.equals("a") ? 1 : 0;
            }
            assertThat(served).as("share after recovery").isGreaterThan(10_000);
        }

        @Test
        void areStillChosenWhenThereIsNoAlternative() {
            recordMeasurement("a", 0, 0, 100, 0);
            for (int i = 0; i < 20; i++) {
                selector.recordStart("a", 0);
                selector.recordEnd("a", AttemptResult.FAILURE, 0);
            }
            assertThat(selector.isExcluded("a", 0)).isTrue();
            assertThat(choose(0)).isEqualTo("a");
        }
    }
}
