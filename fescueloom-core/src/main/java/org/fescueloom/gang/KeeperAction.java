package org.fescueloom.gang;

import java.util.Locale;

/** Names the actions of a lease keeper on the leases of a gang. */
public enum KeeperAction {
    /** Renew the lease of every member. */
    RENEW,
    /** Renew no lease in this round; a lease that is never renewed again lapses. */
    WAIT,
    /** Release the lease of every member, after a checkpoint where possible, and record the end. */
    STOP,
    /**
     * Record the success; renew the leases until the log service has stored the record, then
     * release them.
     */
    COMPLETE;

    /**
     * Returns the name of this action in the names of counters.
     *
     * @return the name in lower case, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
