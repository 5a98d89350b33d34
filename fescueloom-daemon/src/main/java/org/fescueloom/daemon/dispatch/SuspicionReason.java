package org.fescueloom.daemon.dispatch;

import java.util.Locale;

/** Names why an entry holds that a dispatcher has to be replaced. */
enum SuspicionReason {
    /** No dispatcher is known. */
    NO_DISPATCHER,
    /** It has not answered for a while. */
    SILENT,
    /** It answers, but the log service fails it. */
    LOG_FAILS_IT,
    /** It shuts down. */
    LEAVING;

    /** Returns the name in lower case with hyphens, as it stands in logs and counters. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    @Override
    public String toString() {
        return text();
    }
}
