package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.stream.Stream;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;

/**
 * Removes processed records from one partition of the intake log. Confined to the event loop of its
 * owner.
 */
final class IntakeRemovals {
    /**
     * Minimum time between two removals; one call removes all records, up to {@link
     * #MAX_REMOVALS_PER_CALL}.
     */
    private static final long INTERVAL_MILLIS = 5_000;

    /**
     * Keeps a removal below the limit of the log service of 2 MiB per call; a tombstone takes about
     * 24 bytes.
     */
    private static final int MAX_REMOVALS_PER_CALL = 10_000;

    /** Time to wait for the response to a removal. */
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final KeyedLog log;
    private final LogPartition partition;
    private final Executor loop;
    private final Metrics metrics;

    /** The keys of records that must stay until the effect of their requests is stored. */
    private final Set<String> keysInUse = new HashSet<>();

    private final Set<String> keysToRemove = new LinkedHashSet<>();

    /** The keys of the removal in progress; empty if there is none. */
    private final Set<String> keysBeingRemoved = new HashSet<>();

    private long lastRemovalMillis;

    /**
     * Creates an instance without records to remove.
     *
     * @param log the log service
     * @param partition the partition from which records are removed
     * @param loop the event loop of the owner
     * @param metrics counts retries
     */
    IntakeRemovals(KeyedLog log, LogPartition partition, Executor loop, Metrics metrics) {
        this.log = log;
        this.partition = partition;
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Adds the key of a record that is removed after the next call of {@link #release}. */
    void hold(String key) {
        keysInUse.add(key);
    }

    /** Lets the next removal remove a record. */
    void release(String key) {
        keysInUse.remove(key);
        keysToRemove.add(key);
    }

    /** Tests whether submissions of a job are still to be removed. */
    boolean containsSubmissionOf(String jobId) {
        String prefix = IntakeKind.SUBMISSION.key(jobId + "/");
        return Stream.of(keysInUse, keysToRemove, keysBeingRemoved)
                .flatMap(Set::stream)
                .anyMatch(key -> key.startsWith(prefix));
    }

    /** Removes the records, unless a removal is in progress or the last one was too recent. */
    void removeIfDue(long nowMillis) {
        if (keysToRemove.isEmpty()
                || !keysBeingRemoved.isEmpty()
                || nowMillis - lastRemovalMillis < INTERVAL_MILLIS) {
            return;
        }
        lastRemovalMillis = nowMillis;
        List<String> keys = keysToRemove.stream().limit(MAX_REMOVALS_PER_CALL).toList();
        // If a record with one of these keys is stored again during the call, its key is added to
        // keysToRemove again and removed by the next call.
        keys.forEach(keysToRemove::remove);
        keysBeingRemoved.addAll(keys);
        List<KeyedRecord> tombstones =
                keys.stream().map(key -> new KeyedRecord(key, new byte[0])).toList();
        log.append(partition, tombstones, KeyedLog.ANY_END, TIMEOUT)
                .whenCompleteAsync(
                        (outcome, error) -> {
                            keysBeingRemoved.clear();
                            if (error != null) {
                                keysToRemove.addAll(keys);
                                metrics.countRetry(Failures.typeOf(error));
                            }
                        },
                        loop);
    }
}
