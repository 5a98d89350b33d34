package org.fescueloom.daemon.dispatch;

import java.util.Locale;

/** Names the reasons for which an entry suspects that the dispatcher must be replaced. */
enum SuspicionReason {
    /** No dispatcher is known. */
    NO_DISPATCHER,
    /** The dispatcher has not responded for a while. */
    SILENT,
    /** The dispatcher responds, but its calls to the log service fail. */
    LOG_FAILS_IT,
    /** The dispatcher is shutting down. */
    LEAVING;

    /** Returns the name in lower case with hyphens, as used in log fields and metric names. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    @Override
    public String toString() {
        return text();
    }
}
