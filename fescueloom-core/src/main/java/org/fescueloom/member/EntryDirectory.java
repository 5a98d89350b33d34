package org.fescueloom.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps the addresses of the entries that a process announces itself to. Can be used by many
 * threads.
 *
 * <p>The addresses of the settings are always announced to, so that a process finds the others
 * again after any outage. The others are forgotten when the live entries have not listed them for a
 * while. A process that hears of no entry at all forgets none: it cannot tell whether they are gone
 * or it is cut off itself.
 */
public final class EntryDirectory {
    /** The time after which an address that is no longer listed is forgotten, in milliseconds. */
    public static final long FORGET_AFTER_MILLIS = 15_000L;

    private final List<String> seeds;
    private final Map<String, Long> listedAt = new HashMap<>();
    private String self = "";
    private long lastListMillis;

    /**
     * Creates a directory.
     *
     * @param seeds the addresses from the settings, not null
     */
    public EntryDirectory(Collection<String> seeds) {
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Leaves out the address of this process.
     *
     * @param address the address, not null
     */
    public synchronized void excludeSelf(String address) {
        self = Objects.requireNonNull(address, "address");
        listedAt.remove(self);
    }

    /**
     * Takes addresses that a live entry has, or that it listed.
     *
     * @param addresses the addresses, not null
     * @param nowMillis the time now
     */
    public synchronized void recordListed(Collection<String> addresses, long nowMillis) {
        lastListMillis = nowMillis;
        addresses.forEach(a -> listedAt.put(a, nowMillis));
        listedAt.remove(self);
    }

    /**
     * Returns the addresses to announce to.
     *
     * @return the addresses in order, never null
     */
    public synchronized Set<String> announcementTargets() {
        Set<String> all = new TreeSet<>(seeds);
        all.addAll(liveAddresses());
        all.remove(self);
        return all;
    }

    /**
     * Returns the addresses of the entries that were listed lately.
     *
     * @return the addresses in order, never null
     */
    public synchronized Set<String> liveAddresses() {
        listedAt.values().removeIf(t -> lastListMillis - t >= FORGET_AFTER_MILLIS);
        return new TreeSet<>(listedAt.keySet());
    }
}
