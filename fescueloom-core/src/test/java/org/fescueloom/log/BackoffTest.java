package org.fescueloom.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final int PROCESSES = 310;
    private static final long OUTAGE_MILLIS = 60_000L;
    private static final int SLOT_MILLIS = 100;

    /**
     * Returns the maximum number of reads in one time slot after an outage that started for all
     * processes at the same time.
     */
    private static int maxReadsPerSlot(IntFunction<RandomGenerator> random) {
        int[] slots = new int[100];
        for (int i = 0; i < PROCESSES; i++) {
            Backoff backoff = new Backoff(50, 1_000, random.apply(i));
            long time = 0;
            while (time < OUTAGE_MILLIS) {
                time += backoff.nextMillis();
            }
            slots[(int) ((time - OUTAGE_MILLIS) / SLOT_MILLIS)]++;
        }
        return Arrays.stream(slots).max().orElseThrow();
    }

    @Test
    void spreadsTheRetriesOfManyProcesses() {
        int together = maxReadsPerSlot(i -> () -> Long.MAX_VALUE);
        int spread = maxReadsPerSlot(Random::new);
        System.out.printf(
                "most retries within %d ms: %d of %d processes, without jitter %d%n",
                SLOT_MILLIS, spread, PROCESSES, together);
        assertThat(together).isEqualTo(PROCESSES);
        assertThat(spread).isLessThan(PROCESSES / 4);
    }

    @Test
    void doublesUpToTheLimitAndStartsAgainAfterASuccess() {
        Backoff backoff = new Backoff(50, 1_000, new Random(1));
        for (int bound = 50; bound < 10_000; bound *= 2) {
            assertThat(backoff.nextMillis()).isBetween(1L, Math.min(1_000L, bound));
        }
        backoff.reset();
        assertThat(backoff.nextMillis()).isBetween(1L, 50L);
    }
}
