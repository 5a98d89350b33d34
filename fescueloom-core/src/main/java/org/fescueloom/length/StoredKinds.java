package org.fescueloom.length;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.json.Json;

/**
 * Converts kinds to rows of integers and back.
 *
 * <p>A row holds the key: the level, the indexes of queue, image and customer, the resources,
 * whether it is a gang, the moments, and the bins with weight: the number of bins since the last
 * one with weight and the weight.
 */
final class StoredKinds {
    /** The steps of logarithms, variances and weights of moments: 1/1000. */
    private static final double STEPS = 1_000;

    /** The steps of the weights of bins: 1/20 of an end. */
    private static final double WEIGHT_STEPS = 20;

    /** The largest absolute value of a logarithm, a variance or a weight in a valid record. */
    private static final double MAX_VALUE = 10_000;

    /** The bytes of a record without names and kinds; at most 89 with 19 digits for the time. */
    private static final int FRAME_BYTES = 128;

    /** The number of integers before the moments. */
    private static final int KEY_LENGTH = 7;

    /** The number of integers before the bins. */
    private static final int HEAD_LENGTH = KEY_LENGTH + LogMoments.STORED + 2;

    private StoredKinds() {}

    /**
     * Describes a kind of a stored record.
     *
     * @param kind the key of the kind at its level
     * @param level the level
     * @param state what was learned
     */
    record Entry(RunKind kind, KindLevel level, KindState state) {}

    /**
     * Converts kinds to their stored form.
     *
     * @param nodes the kinds, with the most evidence first; not null
     * @param wallClockMillis the present time of the wall clock
     * @param monotonicMillis the present time
     * @return the stored form, never null; without the last kinds if it would be too large
     */
    static StoredRunLengths write(
            List<KindNode> nodes, long wallClockMillis, long monotonicMillis) {
        Map<String, Integer> names = new HashMap<>();
        List<String> nameList = new ArrayList<>();
        List<List<Long>> rows = new ArrayList<>();
        Map<KindNode, List<Long>> states = new HashMap<>();
        int bytes = FRAME_BYTES;
        for (KindNode node : nodes) {
            RunKind key = node.key();
            int newBytes = 0;
            List<String> newNames = new ArrayList<>();
            for (String name : List.of(key.queue(), key.image(), key.customer())) {
                if (!names.containsKey(name) && !newNames.contains(name)) {
                    newNames.add(name);
                    newBytes += Json.write(name).length + 1;
                }
            }
            if (bytes + newBytes > StoredRunLengths.MAX_BYTES) {
                break;
            }
            for (String name : newNames) {
                names.put(name, nameList.size());
                nameList.add(name);
            }
            List<Long> row = key(node, names);
            List<Long> state = state(node.state(monotonicMillis));
            states.put(node, state);
            if (!state.equals(states.get(node.parent()))) {
                row.addAll(state);
            }
            bytes += newBytes + bytesOf(row);
            if (bytes > StoredRunLengths.MAX_BYTES) {
                nameList.subList(nameList.size() - newNames.size(), nameList.size()).clear();
                break;
            }
            rows.add(row);
        }
        return new StoredRunLengths(
                StoredRunLengths.VERSION, Math.max(0, wallClockMillis), nameList, rows);
    }

    /** Returns the size of a row as JSON, with brackets and commas. */
    private static int bytesOf(List<Long> row) {
        int bytes = 2;
        for (long value : row) {
            int digits = value < 0 ? 2 : 1;
            for (long rest = value / 10; rest != 0; rest /= 10) {
                digits++;
            }
            bytes += digits + 1;
        }
        return bytes;
    }

    private static List<Long> key(KindNode node, Map<String, Integer> names) {
        RunKind key = node.key();
        List<Long> row = new ArrayList<>();
        row.add((long) node.level().ordinal());
        row.add((long) names.get(key.queue()));
        row.add((long) names.get(key.image()));
        row.add((long) names.get(key.customer()));
        row.add(key.cpuMillis());
        row.add(key.accelerators());
        row.add(key.gang() ? 1L : 0L);
        return row;
    }

    private static List<Long> state(KindState state) {
        List<Long> row = new ArrayList<>();
        for (double moment : state.moments()) {
            row.add(Math.round(moment * STEPS));
        }
        row.add(Math.round(state.deviationVariance() * STEPS));
        row.add(Math.round(state.drift() * STEPS));
        int last = -1;
        for (int i = 0; i < state.weights().length; i++) {
            long weight = Math.round(state.weights()[i] * WEIGHT_STEPS);
            if (weight > 0) {
                row.add((long) i - last);
                row.add(weight);
                last = i;
            }
        }
        return row;
    }

    /**
     * Reads the kinds of a stored record.
     *
     * @param stored the record, not null
     * @return the kinds, never null
     * @throws org.fescueloom.failure.SchedulerException with type {@code MALFORMED_INPUT} if the
     *     record is damaged
     */
    static List<Entry> read(StoredRunLengths stored) {
        Map<List<Object>, Entry> entries = new LinkedHashMap<>();
        for (List<Long> row : stored.kinds()) {
            Entry entry = entry(row, stored.names(), entries);
            if (entries.put(List.of(entry.level(), entry.kind()), entry) != null) {
                throw StoredRunLengths.malformed("a kind occurs twice: " + entry.kind());
            }
        }
        return List.copyOf(entries.values());
    }

    private static Entry entry(
            List<Long> row, List<String> names, Map<List<Object>, Entry> earlier) {
        boolean likeParent = row.size() == KEY_LENGTH;
        if (!likeParent && (row.size() < HEAD_LENGTH || (row.size() - HEAD_LENGTH) % 2 != 0)) {
            throw StoredRunLengths.malformed("a kind has " + row.size() + " integers");
        }
        KindLevel level = KindLevel.values()[index(row.get(0), KindLevel.COUNT)];
        RunKind kind =
                new RunKind(
                        names.get(index(row.get(1), names.size())),
                        names.get(index(row.get(2), names.size())),
                        names.get(index(row.get(3), names.size())),
                        notNegative(row.get(4)),
                        notNegative(row.get(5)),
                        index(row.get(6), 2) == 1);
        if (!level.keyOf(kind).equals(kind)) {
            throw StoredRunLengths.malformed("level " + level + " does not have this key: " + kind);
        }
        return new Entry(kind, level, likeParent ? parentState(kind, level, earlier) : state(row));
    }

    private static KindState parentState(
            RunKind kind, KindLevel level, Map<List<Object>, Entry> earlier) {
        Entry parent = null;
        if (level != KindLevel.QUEUE) {
            KindLevel above = KindLevel.values()[level.ordinal() - 1];
            parent = earlier.get(List.of(above, above.keyOf(kind)));
        }
        if (parent == null) {
            throw StoredRunLengths.malformed(
                    "a kind is like its parent, which is missing: " + kind);
        }
        return parent.state();
    }

    private static KindState state(List<Long> row) {
        double[] values = new double[LogMoments.STORED + 2];
        for (int i = 0; i < values.length; i++) {
            values[i] = value(row.get(KEY_LENGTH + i), STEPS);
        }
        double[] moments = new double[LogMoments.STORED];
        System.arraycopy(values, 0, moments, 0, moments.length);
        double deviationVariance = values[LogMoments.STORED];
        if (!LogMoments.valid(moments) || deviationVariance < 0) {
            throw StoredRunLengths.malformed("a weight or a variance is negative");
        }
        return new KindState(
                moments, deviationVariance, values[LogMoments.STORED + 1], weights(row));
    }

    private static double[] weights(List<Long> row) {
        double[] weights = new double[RatioBins.COUNT];
        int bin = -1;
        for (int i = HEAD_LENGTH; i < row.size(); i += 2) {
            bin += 1 + index(row.get(i) - 1, RatioBins.COUNT);
            index((long) bin, RatioBins.COUNT);
            weights[bin] = value(notNegative(row.get(i + 1)), WEIGHT_STEPS);
        }
        return weights;
    }

    private static int index(long value, int size) {
        if (value < 0 || value >= size) {
            throw StoredRunLengths.malformed(value + " is not from 0 to " + (size - 1));
        }
        return (int) value;
    }

    private static long notNegative(long value) {
        if (value < 0) {
            throw StoredRunLengths.malformed(value + " is negative");
        }
        return value;
    }

    private static double value(long steps, double stepsPerUnit) {
        double value = steps / stepsPerUnit;
        if (Math.abs(value) > MAX_VALUE) {
            throw StoredRunLengths.malformed(value + " is out of range");
        }
        return value;
    }
}
