package org.fescueloom.daemon.http;

import java.util.Comparator;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Holds what the servers of one process share: the budgets of connections and bytes, and the open
 * connections. Safe for use by several threads.
 */
public final class ServerBudgets {
    /**
     * The part of the bytes that can be reserved. The connections of one server may need most of
     * the bytes, while those of the others are idle.
     */
    private static final double RESERVED_BYTES = 0.5;

    private final ServerLimits limits;
    private final LimitReport report;
    private final SharedBudget connections;
    private final SharedBudget headBytes;
    private final SharedBudget bodyBytes;
    private final SharedBudget responseBytes;
    private final Set<ConnectionGuard> openConnections = ConcurrentHashMap.newKeySet();

    /**
     * Creates the budgets of a process.
     *
     * @param limits the limits of the process, not null
     * @param counters adds 1 to the counter with the given name, not null
     */
    public ServerBudgets(ServerLimits limits, Consumer<String> counters) {
        this.limits = Objects.requireNonNull(limits, "limits");
        report = new LimitReport(counters);
        connections = new SharedBudget(limits.maxConnections());
        headBytes = new SharedBudget(limits.maxHeadBytes());
        bodyBytes = new SharedBudget(limits.maxBodyBytes());
        responseBytes = new SharedBudget(limits.maxBufferedBytes());
    }

    /** Creates the share of a server. */
    ServerLoad load(double reservedFraction) {
        double reservedBytes = reservedFraction * RESERVED_BYTES;
        return new ServerLoad(
                this,
                connections.share(reservedFraction),
                headBytes.share(reservedBytes),
                bodyBytes.share(reservedBytes),
                responseBytes.share(reservedBytes));
    }

    ServerLimits limits() {
        return limits;
    }

    LimitReport report() {
        return report;
    }

    void opened(ConnectionGuard connection) {
        openConnections.add(connection);
    }

    void closed(ConnectionGuard connection) {
        openConnections.remove(connection);
    }

    /**
     * Closes the connection that has waited longest for its client, among those that have waited at
     * least the minimum. A connection in the middle of a request or response is closed before one
     * that is between two requests.
     *
     * @param limit the limit that was reached, for the report, not null
     * @param candidate selects the connections that may be closed, not null
     * @return whether a connection is being closed
     */
    boolean closeLongestWaiting(ServerLimit limit, Predicate<ConnectionGuard> candidate) {
        long nowNanos = System.nanoTime();
        long minNanos = limits.minWaitToClose().toNanos();
        return openConnections.stream()
                .filter(candidate)
                .filter(connection -> connection.waitedNanos(nowNanos) >= minNanos)
                .max(
                        Comparator.comparing(ConnectionGuard::isWithinRequest)
                                .thenComparing(connection -> connection.waitedNanos(nowNanos)))
                .map(connection -> connection.closeInFavourOfAnother(limit))
                .orElse(false);
    }
}
