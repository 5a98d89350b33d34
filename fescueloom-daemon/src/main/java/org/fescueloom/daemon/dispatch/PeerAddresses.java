package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;

/** Validates addresses that were received from other processes. */
final class PeerAddresses {
    private PeerAddresses() {}

    /**
     * Returns the texts that are valid addresses; counts and logs the others.
     *
     * @param texts the texts, not null
     * @param metrics counts the invalid texts, not null
     * @return the addresses as "host:port", in the same order, never null
     */
    static List<String> filterValid(Collection<String> texts, Metrics metrics) {
        List<String> valid = new ArrayList<>();
        for (String text : texts) {
            if (HttpClient.isAddress(text)) {
                valid.add(text);
            } else {
                metrics.count("addresses.unreadable");
                EventLog.event("address-unreadable").field("address", text).warn();
            }
        }
        return valid;
    }
}
