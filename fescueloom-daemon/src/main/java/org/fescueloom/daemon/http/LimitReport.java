package org.fescueloom.daemon.http;

import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueloom.daemon.logging.EventLog;

/**
 * Counts and logs when clients reach a limit. Logs at most one line per limit and interval. Safe
 * for use by several threads.
 */
final class LimitReport {
    /** The minimum time between two log lines about the same limit. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Consumer<String> counters;
    private final Map<ServerLimit, State> states = new EnumMap<>(ServerLimit.class);

    /** Holds when a limit was logged last, and how often it was reached since. */
    private static final class State {
        private long loggedNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
        private long notLogged;
    }

    /**
     * Creates a report.
     *
     * @param counters adds 1 to the counter with the given name, not null
     */
    LimitReport(Consumer<String> counters) {
        this.counters = Objects.requireNonNull(counters, "counters");
        for (ServerLimit limit : ServerLimit.values()) {
            states.put(limit, new State());
        }
    }

    /**
     * Reports that a client has reached a limit.
     *
     * @param limit the limit, not null
     * @param client the address of the client, null if it is not known
     */
    void reached(ServerLimit limit, SocketAddress client) {
        counters.accept(limit.counter());
        long more;
        synchronized (this) {
            State state = states.get(limit);
            long nowNanos = System.nanoTime();
            if (nowNanos - state.loggedNanos < LOG_INTERVAL_NANOS) {
                state.notLogged++;
                return;
            }
            more = state.notLogged;
            state.notLogged = 0;
            state.loggedNanos = nowNanos;
        }
        EventLog line =
                EventLog.event("limit-reached")
                        .field("limit", limit.text())
                        .field("client", client)
                        .field("more", more);
        if (limit.reachedByOrdinaryClients()) {
            line.debug();
        } else {
            line.warn();
        }
    }
}
