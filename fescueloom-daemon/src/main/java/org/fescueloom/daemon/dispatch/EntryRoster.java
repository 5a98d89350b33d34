package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.fescueloom.daemon.metrics.Metrics;

/**
 * Knows the entries, and orders them by their ability to dispatch: those with the most processor
 * time first, and entries with equal processor time by their addresses.
 *
 * <p>An entry whose processor time is not known counts as equal to this one. Confined to the event
 * loop of its owner.
 */
final class EntryRoster {
    private final String address;
    private final double cores;
    private final Metrics metrics;
    private final Set<String> addresses = new TreeSet<>();
    private final Map<String, Double> coresByEntry = new HashMap<>();

    /** The entries that were unable to claim when they were last asked. */
    private final Set<String> unavailable = new HashSet<>();

    /**
     * Creates a roster that knows only the entry itself.
     *
     * @param address the address of this entry
     * @param cores the processor time of its machine, in cores
     * @param metrics counts invalid addresses
     */
    EntryRoster(String address, double cores, Metrics metrics) {
        this.address = address;
        this.cores = cores;
        this.metrics = metrics;
        addresses.add(address);
    }

    /** Adds entries; counts and skips invalid addresses. */
    void add(Collection<String> entries) {
        addresses.addAll(PeerAddresses.filterValid(List.copyOf(entries), metrics));
    }

    /** Adds an entry with its processor time in cores; the time is unknown if not positive. */
    void add(String entry, double entryCores) {
        add(List.of(entry));
        if (entryCores > 0) {
            coresByEntry.put(entry, entryCores);
        }
    }

    /** Returns the addresses of all entries. */
    List<String> all() {
        return List.copyOf(addresses);
    }

    /** Returns the addresses of the other entries, as a list that may be changed. */
    List<String> others() {
        List<String> others = new ArrayList<>(addresses);
        others.remove(address);
        return others;
    }

    /** Records that an entry is leaving, is not running, or cannot reach the log service. */
    void markUnavailable(String entry) {
        unavailable.add(entry);
    }

    /** Forgets which entries are unavailable. */
    void clearUnavailable() {
        unavailable.clear();
    }

    /**
     * Returns the number of available entries that claim before this one.
     *
     * @param dispatcher the address of the present dispatcher, which does not claim; may be empty
     */
    int claimTurn(String dispatcher) {
        int turn = 0;
        for (String entry : others()) {
            if (!entry.equals(dispatcher) && !unavailable.contains(entry) && isBefore(entry)) {
                turn++;
            }
        }
        return turn;
    }

    private boolean isBefore(String entry) {
        int byCores = Double.compare(coresByEntry.getOrDefault(entry, cores), cores);
        return byCores > 0 || byCores == 0 && entry.compareTo(address) < 0;
    }
}
