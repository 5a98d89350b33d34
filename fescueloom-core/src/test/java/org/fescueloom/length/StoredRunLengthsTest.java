package org.fescueloom.length;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;
import static org.fescueloom.length.DrawnRuns.KIND;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoredRunLengthsTest {
    private static final long WALL_MILLIS = 1_796_000_000_000L;
    private static final long OTHER_MONOTONIC_MILLIS = 77;

    private final DrawnRuns runs = new DrawnRuns(new RunLengthModel(), 61);

    /** Records ends of 20 kinds of a few queues and customers. */
    private List<RunKind> recordTwentyKinds() {
        List<RunKind> kinds = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            kinds.add(new RunKind("q" + i % 3, "i" + i % 5, "c" + i % 4, i, i % 8, i % 2 == 0));
        }
        for (int i = 0; i < 4_000; i++) {
            int kind = i % kinds.size();
            double length = runs.lengthWithTail(1_000 * (kind + 3), 0.3);
            runs.end(kinds.get(kind), i % 9 == 0 ? 0 : runs.estimate(length), length);
        }
        return kinds;
    }

    private static byte[] json(RunLengthModel model, long now) {
        return Json.write(model.store(WALL_MILLIS, now));
    }

    private static RunLengthModel restore(byte[] json, long wallClockMillis) {
        StoredRunLengths stored = Json.read(json, StoredRunLengths.class);
        return RunLengthModel.restore(stored, wallClockMillis, OTHER_MONOTONIC_MILLIS);
    }

    /** Guards against a takeover that loses what was learned. */
    @Nested
    class Restoring {
        @Test
        void keepsTheForecasts() {
            List<RunKind> kinds = recordTwentyKinds();
            RunLengthModel restored = restore(json(runs.model, runs.now), WALL_MILLIS);

            assertThat(restored.kinds()).isEqualTo(runs.model.kinds());
            for (RunKind kind : kinds) {
                for (long estimate : new long[] {0, 2_000, 40_000}) {
                    RunLengthForecast before = runs.model.forecast(kind, estimate, runs.now);
                    RunLengthForecast after =
                            restored.forecast(kind, estimate, OTHER_MONOTONIC_MILLIS);
                    assertThat(after.evidence()).isCloseTo(before.evidence(), within(0.01));
                    for (double p = 0.05; p < 1; p += 0.05) {
                        double quantile = before.quantileMillis(p);
                        assertThat(after.quantileMillis(p))
                                .isCloseTo(quantile, within(0.02 * quantile));
                    }
                }
            }
        }

        @Test
        void countsTheTimeThatHasPassedSince() {
            recordTwentyKinds();
            RunKind kind = new RunKind("q0", "x", "x", 0, 0, false);
            double before = runs.model.forecast(kind, 0, runs.now).evidence();
            byte[] json = json(runs.model, runs.now);
            RunLengthModel later = restore(json, WALL_MILLIS + 6 * 3_600_000);
            RunLengthModel setBack = restore(json, WALL_MILLIS - 6 * 3_600_000);

            assertThat(later.forecast(kind, 0, OTHER_MONOTONIC_MILLIS).evidence())
                    .isCloseTo(before / 2, within(0.01));
            assertThat(setBack.forecast(kind, 0, OTHER_MONOTONIC_MILLIS).evidence())
                    .isCloseTo(before, within(0.01));
        }

        @Test
        void ofAnEmptyModelGivesAnEmptyModel() {
            RunLengthModel restored = restore(json(new RunLengthModel(), 0), WALL_MILLIS);

            assertThat(restored.kinds()).isZero();
            assertThat(restored.calibration()).isEqualTo(Calibration.NONE);
        }
    }

    /** Guards against records that the log service refuses for their size. */
    @Nested
    class AThousandKinds {
        private void record(String prefix, int queues) {
            Random random = new Random(62);
            for (int i = 0; i < 30_000; i++) {
                int kind = (int) Math.min(999, Math.abs(random.nextGaussian() * 500));
                double length = runs.lengthWithTail(10_000, 0.5);
                RunKind drawn =
                        new RunKind(
                                "q" + kind % queues,
                                prefix + kind % 50,
                                prefix + "c" + kind % 10,
                                kind * 1_000,
                                kind % 9,
                                false);
                runs.end(drawn, runs.estimate(length), length);
            }
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 4, 1_000})
        void fitIntoTheRecord(int queues) {
            record("registry.example/team/image-with-a-long-name-\u00e9\"\\", queues);
            byte[] json = json(runs.model, runs.now);

            assertThat(runs.model.kinds()).isGreaterThan(900);
            assertThat(json.length)
                    .isLessThanOrEqualTo(StoredRunLengths.MAX_BYTES)
                    .isGreaterThan(StoredRunLengths.MAX_BYTES - 1_024);
            assertThat(restore(json, WALL_MILLIS).kinds()).isGreaterThan(100);
        }

        @Test
        void keepTheForecastsOfTheKindsWithTheMostEvidence() {
            record("image", 4);
            for (int i = 0; i < 100; i++) {
                runs.end(KIND, 9_000, runs.length(70_000, 0.2));
            }
            RunLengthModel restored = restore(json(runs.model, runs.now), WALL_MILLIS);

            double before = runs.forecast(9_000).quantileMillis(0.9);
            assertThat(restored.forecast(KIND, 9_000, OTHER_MONOTONIC_MILLIS).quantileMillis(0.9))
                    .isCloseTo(before, within(0.02 * before));
        }

        @Test
        void doNotFitWithNamesThatAreTooLong() {
            runs.end(new RunKind("q".repeat(70_000), "i", "c", 1, 1, false), 1_000, 1_000);

            assertThat(json(runs.model, runs.now).length).isLessThan(1_000);
        }
    }

    /** Guards against a model that is built from a damaged record. */
    @Nested
    class Damaged {
        private void assertRefused(ThrowingCallable call) {
            assertThatThrownBy(call)
                    .isInstanceOfSatisfying(
                            SchedulerException.class,
                            e -> assertThat(e.type()).isEqualTo(FailureType.MALFORMED_INPUT));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "null",
                    "{}",
                    "{\"version\":2,\"storedAtMillis\":1,\"names\":[],\"kinds\":[]}",
                    "{\"version\":1,\"storedAtMillis\":-1,\"names\":[],\"kinds\":[]}",
                    "{\"version\":1,\"storedAtMillis\":1,\"kinds\":[]}",
                    "{\"version\":1,\"storedAtMillis\":1,\"names\":[null],\"kinds\":[]}",
                    "{\"version\":1,\"storedAtMillis\":1,\"names\":[],\"kinds\":[[null]]}",
                    "{\"version\":1,\"storedAtMillis\":1,\"names\":[],\"kinds\":[[0,0]]}",
                    "{\"version\":1,\"storedAtMillis\":1,\"names\":[],\"kinds\":[["
                })
        void recordsAreRefused(String json) {
            assertRefused(() -> restore(json.getBytes(StandardCharsets.UTF_8), WALL_MILLIS));
        }

        /** Each integer is replaced by values that no model writes there. */
        @Test
        void integersAreRefusedOrGiveFiniteForecasts() {
            recordTwentyKinds();
            StoredRunLengths stored = runs.model.store(WALL_MILLIS, runs.now);
            int refused = 0;
            for (int i = 0; i < stored.kinds().get(0).size(); i++) {
                for (long value : new long[] {Long.MIN_VALUE, -1, 9_999_999, Long.MAX_VALUE}) {
                    refused += refusedWith(stored, i, value) ? 1 : 0;
                }
            }
            assertThat(refused).isGreaterThan(2 * stored.kinds().get(0).size());
        }

        private boolean refusedWith(StoredRunLengths stored, int index, long value) {
            List<List<Long>> rows = new ArrayList<>(stored.kinds());
            List<Long> row = new ArrayList<>(rows.get(0));
            row.set(index, value);
            rows.set(0, row);
            StoredRunLengths damaged =
                    new StoredRunLengths(
                            stored.version(), stored.storedAtMillis(), stored.names(), rows);
            try {
                RunLengthModel model = RunLengthModel.restore(damaged, WALL_MILLIS, 0);
                double mean = model.forecast(KIND, 1_000, 0).meanRemainingMillis(5);
                assertThat(mean).isFinite().isNotNegative();
                return false;
            } catch (SchedulerException e) {
                assertThat(e.type()).isEqualTo(FailureType.MALFORMED_INPUT);
                return true;
            }
        }

        @Test
        void rowsThatOccurTwiceAreRefused() {
            recordTwentyKinds();
            StoredRunLengths stored = runs.model.store(WALL_MILLIS, runs.now);
            List<List<Long>> rows = new ArrayList<>(stored.kinds());
            rows.add(rows.get(0));

            assertRefused(
                    () ->
                            RunLengthModel.restore(
                                    new StoredRunLengths(1, 1, stored.names(), rows), 1, 1));
        }
    }
}
