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
 * Holds what one member believes of all members, and the news that it still has to spread.
 *
 * <p>Each piece of news is sent a number of times that grows with the logarithm of the number of
 * members, the least sent first. Used by one thread; times are in milliseconds of the monotonic
 * clock.
 */
final class GossipTable {
    /** The number of parts that two tables are compared by. */
    static final int PARTS = 32;

    private static final int SPREAD_FACTOR = 3;

    private final TreeMap<String, MembershipRecord> entries = new TreeMap<>();
    private final Map<String, Integer> unsent = new HashMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();
    private final long[] digests = new long[PARTS];

    MembershipRecord get(String id) {
        return entries.get(id);
    }

    Collection<MembershipRecord> all() {
        return entries.values();
    }

    int size() {
        return entries.size();
    }

    long changedAt(String id) {
        return changedAt.getOrDefault(id, Long.MAX_VALUE);
    }

    /** Takes an entry as news if it is newer than the known one. */
    void merge(MembershipRecord entry, long nowMillis) {
        if (mergeWithoutSpreading(entry, nowMillis)) {
            unsent.put(entry.id(), 0);
        }
    }

    /** Takes an entry if it is newer than the known one, without spreading it; tells if it was. */
    boolean mergeWithoutSpreading(MembershipRecord entry, long nowMillis) {
        MembershipRecord known = entries.get(entry.id());
        if (!entry.supersedes(known)) {
            return false;
        }
        if (known != null) {
            digests[part(known.id())] ^= hash(known);
        }
        digests[part(entry.id())] ^= hash(entry);
        entries.put(entry.id(), entry);
        unsent.remove(entry.id());
        changedAt.put(entry.id(), nowMillis);
        return true;
    }

    void remove(String id) {
        MembershipRecord known = entries.remove(id);
        if (known != null) {
            digests[part(id)] ^= hash(known);
        }
        unsent.remove(id);
        changedAt.remove(id);
    }

    /** Takes the news that were sent least often, and counts them as sent once more. */
    List<MembershipRecord> takeUpdates(int max) {
        int limit = SPREAD_FACTOR * ceilLog2(entries.size() + 1);
        List<String> ids = new ArrayList<>(unsent.keySet());
        ids.sort(Comparator.<String>comparingInt(unsent::get).thenComparing(id -> id));
        List<MembershipRecord> news = new ArrayList<>();
        for (String id : ids.subList(0, Math.min(max, ids.size()))) {
            news.add(entries.get(id));
            if (unsent.merge(id, 1, Integer::sum) >= limit) {
                unsent.remove(id);
            }
        }
        return news;
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

    /** Returns the entries in the parts whose digest differs from another table's. */
    List<MembershipRecord> recordsInDifferingParts(List<Long> others) {
        return entries.values().stream()
                .filter(
                        e -> {
                            int part = part(e.id());
                            return part >= others.size() || others.get(part) != digests[part];
                        })
                .toList();
    }

    static int ceilLog2(int n) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, n - 1));
    }

    private static int part(String id) {
        return Math.floorMod(mix(id.hashCode()), PARTS);
    }

    private static long hash(MembershipRecord e) {
        long value = Objects.hash(e.id(), e.incarnation(), e.sequence(), e.status().ordinal());
        return mix(value) ^ mix(e.id().hashCode() * 31L + e.incarnation());
    }

    private static long mix(long value) {
        long z = value * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        return z ^ (z >>> 27);
    }
}
