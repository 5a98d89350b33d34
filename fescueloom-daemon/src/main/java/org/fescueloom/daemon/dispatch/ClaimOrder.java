package org.fescueloom.daemon.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Orders the entries by their ability to dispatch: those with the most processor time first, and
 * entries with equal processor time by their addresses.
 *
 * <p>An entry whose processor time is not known counts as equal to the one that asks. Confined to
 * the event loop of its owner.
 */
final class ClaimOrder {
    private final Map<String, Double> coresByEntry = new HashMap<>();

    /** The entries that have lately been found unable to claim. */
    private final Set<String> unavailable = new HashSet<>();

    /**
     * Records the processor time of an entry; ignores a value that is not positive.
     *
     * @param entry the address of the entry
     * @param cores the processor time, in cores
     */
    void recordCores(String entry, double cores) {
        if (cores > 0) {
            coresByEntry.put(entry, cores);
        }
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
     * Returns the number of entries that claim before an entry.
     *
     * @param entries the addresses of the known entries
     * @param dispatcher the address of the present dispatcher, which does not claim; may be empty
     * @param address the address of the entry
     */
    int turn(Collection<String> entries, String dispatcher, String address) {
        double ownCores = coresByEntry.getOrDefault(address, 0.0);
        int turn = 0;
        for (String entry : entries) {
            if (entry.equals(dispatcher) || entry.equals(address) || unavailable.contains(entry)) {
                continue;
            }
            int byCores = Double.compare(coresByEntry.getOrDefault(entry, ownCores), ownCores);
            if (byCores > 0 || byCores == 0 && entry.compareTo(address) < 0) {
                turn++;
            }
        }
        return turn;
    }
}
