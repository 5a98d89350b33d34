package org.fescueloom.length;

import java.util.List;
import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/**
 * Describes what a {@link RunLengthModel} has learned, as it is stored.
 *
 * @param version the format version
 * @param storedAtMillis the time of the wall clock when it was stored, not negative
 * @param names the names of queues, images and customers, each once; not null
 * @param kinds a row of integers for each kind, with the most evidence first; the names are given
 *     by their index; not null
 */
public record StoredRunLengths(
        int version, long storedAtMillis, List<String> names, List<List<Long>> kinds) {
    /** The format version that this release writes, and the newest one that it reads. */
    public static final int VERSION = 1;

    /** The maximum size as JSON. */
    public static final int MAX_BYTES = 64 * 1_024;

    /**
     * Checks the fields.
     *
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the version is not known or a
     *     field is missing
     */
    public StoredRunLengths {
        if (version != VERSION) {
            throw malformed("version " + version + " is not " + VERSION);
        }
        if (storedAtMillis < 0) {
            throw malformed("storedAtMillis is negative: " + storedAtMillis);
        }
        names = copy(names, "names");
        kinds = copy(kinds, "kinds").stream().map(row -> copy(row, "kind")).toList();
    }

    private static <T> List<T> copy(List<T> values, String name) {
        if (values == null || values.stream().anyMatch(Objects::isNull)) {
            throw malformed(name + " is missing or has null values");
        }
        return List.copyOf(values);
    }

    /**
     * Creates the failure that reports a damaged record.
     *
     * @param detail what is wrong, not null
     * @return the failure, never null
     */
    static SchedulerException malformed(String detail) {
        return new SchedulerException(
                FailureType.MALFORMED_INPUT, "stored run lengths cannot be read: " + detail);
    }
}
