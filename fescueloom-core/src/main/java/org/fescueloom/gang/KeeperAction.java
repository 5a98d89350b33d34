package org.fescueloom.gang;

import java.util.Locale;

/** Names what a keeper does with the leases of a gang. */
public enum KeeperAction {
    /** Renew the lease of every member. */
    RENEW,
    /** Renew none in this round; leases go on until they lapse. */
    WAIT,
    /** Release the lease of every member, with a checkpoint where it can be had, then record. */
    STOP,
    /** Record the success; keep renewing until the log has it, and only then release. */
    COMPLETE;

    /**
     * Returns the text that stands for this action in the names of counters.
     *
     * @return the name in lower case, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
