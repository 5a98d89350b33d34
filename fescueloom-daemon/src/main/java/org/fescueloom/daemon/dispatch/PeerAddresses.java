package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;

/** Takes addresses of processes that others have written, and leaves out what is none. */
final class PeerAddresses {
    private PeerAddresses() {}

    /**
     * Chooses the texts to which requests can be sent; counts and logs the others.
     *
     * @param texts the texts, not null
     * @param metrics counts what is left out, not null
     * @return the addresses as "host:port", in the same order, never null
     */
    static List<String> filterValid(Collection<String> texts, Metrics metrics) {
        List<String> usable = new ArrayList<>();
        for (String text : texts) {
            if (HttpClient.isAddress(text)) {
                usable.add(text);
            } else {
                metrics.count("addresses.unreadable");
                EventLog.event("address-unreadable").field("address", text).warn();
            }
        }
        return usable;
    }
}
