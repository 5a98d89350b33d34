package org.fescueloom.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Holds the addresses of the entries to which a process announces itself. Thread-safe.
 *
 * <p>A process always announces itself to the addresses from its settings, so that it finds the
 * other entries again after any outage. Every other address is removed when the live entries have
 * not listed it for {@link #FORGET_AFTER_MILLIS}. A process that receives no list at all removes no
 * address, because it cannot tell whether the entries have stopped or the process itself is cut
 * off.
 */
public final class EntryDirectory {
    /** The time after which an address that is no longer listed is removed, in milliseconds. */
    public static final long FORGET_AFTER_MILLIS = 15_000L;

    private final List<String> seedAddresses;
    private final Map<String, Long> lastListedMillis = new HashMap<>();
    private String ownAddress = "";
    private long lastListingMillis;

    /**
     * Creates a directory.
     *
     * @param seedAddresses the addresses from the settings, not null
     */
    public EntryDirectory(Collection<String> seedAddresses) {
        this.seedAddresses = List.copyOf(seedAddresses);
    }

    /**
     * Excludes the address of this process.
     *
     * @param address the address, not null
     */
    public synchronized void excludeSelf(String address) {
        ownAddress = Objects.requireNonNull(address, "address");
        lastListedMillis.remove(ownAddress);
    }

    /**
     * Records the address of a live entry, or addresses that a live entry has listed.
     *
     * @param addresses the addresses, not null
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public synchronized void recordListed(Collection<String> addresses, long nowMillis) {
        lastListingMillis = nowMillis;
        addresses.forEach(a -> lastListedMillis.put(a, nowMillis));
        lastListedMillis.remove(ownAddress);
    }

    /**
     * Returns the addresses to which this process announces itself.
     *
     * @return the addresses in ascending order, never null
     */
    public synchronized Set<String> announcementTargets() {
        Set<String> all = new TreeSet<>(seedAddresses);
        all.addAll(liveAddresses());
        all.remove(ownAddress);
        return all;
    }

    /**
     * Returns the addresses of the entries that were listed recently.
     *
     * @return the addresses in ascending order, never null
     */
    public synchronized Set<String> liveAddresses() {
        // The age is measured at the last list received, not now: while no list arrives, no address
        // is removed.
        lastListedMillis.values().removeIf(t -> lastListingMillis - t >= FORGET_AFTER_MILLIS);
        return new TreeSet<>(lastListedMillis.keySet());
    }
}
