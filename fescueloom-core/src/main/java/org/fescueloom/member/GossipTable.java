package org.fescueloom.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Holds the membership records that one member knows, and counts how often each recent update has
 * been sent.
 *
 * <p>Each update is sent a number of times that grows with the logarithm of the number of members.
 * The updates that were sent least often go first. Not thread-safe. Times are in milliseconds of
 * the monotonic clock.
 */
final class GossipTable {
    /** The number of parts into which a table is divided for comparison. */
    static final int PARTS = 32;

    /**
     * The number of times that an update is sent is this factor times the binary logarithm of the
     * table size.
     */
    private static final int SPREAD_FACTOR = 3;

    private final TreeMap<String, MembershipRecord> records = new TreeMap<>();

    /** The number of times that each update which is still being spread has been sent. */
    private final Map<String, Integer> sendCounts = new HashMap<>();

    private final Map<String, Long> changedAtMillis = new HashMap<>();

    /** The digest of each part: the exclusive or of the hashes of its records. */
    private final long[] digests = new long[PARTS];

    MembershipRecord get(String id) {
        return records.get(id);
    }

    Collection<MembershipRecord> all() {
        return records.values();
    }

    int size() {
        return records.size();
    }

    /**
     * Returns the time of the last change of a record; {@code Long.MAX_VALUE} if the record is not
     * known.
     */
    long changedAtMillis(String id) {
        return changedAtMillis.getOrDefault(id, Long.MAX_VALUE);
    }

    /** Replaces the known record if the update is newer, and marks the update to be spread. */
    void merge(MembershipRecord update, long nowMillis) {
        if (mergeWithoutSpreading(update, nowMillis)) {
            sendCounts.put(update.id(), 0);
        }
    }

    /**
     * Replaces the known record if the update is newer, without spreading it; returns true if the
     * record was replaced.
     */
    boolean mergeWithoutSpreading(MembershipRecord update, long nowMillis) {
        MembershipRecord known = records.get(update.id());
        if (!update.supersedes(known)) {
            return false;
        }
        if (known != null) {
            digests[part(known.id())] ^= hash(known);
        }
        digests[part(update.id())] ^= hash(update);
        records.put(update.id(), update);
        sendCounts.remove(update.id());
        changedAtMillis.put(update.id(), nowMillis);
        return true;
    }

    void remove(String id) {
        MembershipRecord known = records.remove(id);
        if (known != null) {
            digests[part(id)] ^= hash(known);
        }
        sendCounts.remove(id);
        changedAtMillis.remove(id);
    }

    /**
     * Returns the updates that were sent least often, and counts each of them as sent once more.
     */
    List<MembershipRecord> takeUpdates(int max) {
        int limit = SPREAD_FACTOR * ceilLog2(records.size() + 1);
        List<String> ids = new ArrayList<>(sendCounts.keySet());
        ids.sort(Comparator.<String>comparingInt(sendCounts::get).thenComparing(id -> id));
        List<MembershipRecord> updates = new ArrayList<>();
        for (String id : ids.subList(0, Math.min(max, ids.size()))) {
            updates.add(records.get(id));
            if (sendCounts.merge(id, 1, Integer::sum) >= limit) {
                sendCounts.remove(id);
            }
        }
        return updates;
    }

    long digest() {
        long all = 0;
        for (int i = 0; i < PARTS; i++) {
            all = all * 31 + digests[i];
        }
        return all;
    }

    List<Long> digests() {
        List<Long> list = new ArrayList<>(PARTS);
        for (long d : digests) {
            list.add(d);
        }
        return list;
    }

    /**
     * Returns the records in the parts whose digest differs from the digest of the same part of
     * another table, or is missing there.
     */
    List<MembershipRecord> recordsInDifferingParts(List<Long> otherDigests) {
        return records.values().stream()
                .filter(
                        r -> {
                            int part = part(r.id());
                            return part >= otherDigests.size()
                                    || otherDigests.get(part) != digests[part];
                        })
                .toList();
    }

    static int ceilLog2(int n) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, n - 1));
    }

    private static int part(String id) {
        return Math.floorMod(mix(id.hashCode()), PARTS);
    }

    private static long hash(MembershipRecord r) {
        long value = Objects.hash(r.id(), r.incarnation(), r.sequence(), r.status().ordinal());
        return mix(value) ^ mix(r.id().hashCode() * 31L + r.incarnation());
    }

    /** Mixes the bits of a value, so that similar values have different hashes. */
    private static long mix(long value) {
        long z = value * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        return z ^ (z >>> 27);
    }
}
