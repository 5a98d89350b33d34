package org.fescueloom.daemon.http;

import java.net.SocketAddress;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * Counts the connections and bytes of a server against its shares of the budgets of the process.
 *
 * @param budgets the budgets of the process, not null
 * @param connections the open connections, not null
 * @param headBytes the bytes of request heads and of undecoded input, not null
 * @param bodyBytes the bytes of request bodies, not null
 * @param responseBytes the bytes of unsent responses, not null
 */
record ServerLoad(
        ServerBudgets budgets,
        SharedBudget.Share connections,
        SharedBudget.Share headBytes,
        SharedBudget.Share bodyBytes,
        SharedBudget.Share responseBytes) {
    ServerLoad {
        Objects.requireNonNull(budgets, "budgets");
        Objects.requireNonNull(connections, "connections");
        Objects.requireNonNull(headBytes, "headBytes");
        Objects.requireNonNull(bodyBytes, "bodyBytes");
        Objects.requireNonNull(responseBytes, "responseBytes");
    }

    ServerLimits limits() {
        return budgets.limits();
    }

    /**
     * Counts an opened connection. If the budget is used up, closes the connection that has waited
     * longest for its client instead of the new one.
     *
     * @param connection the new connection, not null
     * @return false if the connection must be closed; it is counted also in this case
     */
    boolean connectionOpened(ConnectionGuard connection) {
        boolean accepted = connections.tryAcquire(1);
        if (!accepted) {
            connections.acquire(1);
            accepted = closeAnother(ServerLimit.CONNECTIONS, connection, other -> true);
        }
        budgets.opened(connection);
        return accepted;
    }

    /**
     * Closes the connection of this server that has waited longest for its client.
     *
     * @param limit the limit that was reached, not null
     * @param connection the connection that needs what the other one holds, not null
     * @param candidate selects the connections that may be closed, not null
     * @return whether a connection is being closed
     */
    boolean closeAnother(
            ServerLimit limit, ConnectionGuard connection, Predicate<ConnectionGuard> candidate) {
        return budgets.closeLongestWaiting(
                limit, other -> other != connection && other.isOf(this) && candidate.test(other));
    }

    /**
     * Reports a body that was refused for lack of budget, and closes a connection that holds a part
     * of the budget and waits for its client, so that a retry of the caller can succeed.
     */
    void bodyRefused(ConnectionGuard connection, SocketAddress client) {
        budgets.report().reached(ServerLimit.BODY_BYTES, client);
        closeAnother(ServerLimit.BODY_BYTES, connection, other -> other.reservedBodyBytes() > 0);
    }

    /**
     * Reserves the bytes of a part of a response. If the budget has too little left, the connection
     * that has waited longest for its client is closed. A response that is alone is always sent.
     *
     * @return false if the response must not be sent; nothing is reserved in this case
     */
    boolean reserveResponse(ConnectionGuard connection, int bytes) {
        if (responseBytes.tryAcquire(bytes)) {
            return true;
        }
        boolean sends =
                responseBytes.inUse() == 0
                        || closeAnother(
                                ServerLimit.RESPONSE_BYTES, connection, ConnectionGuard::isSending);
        if (sends) {
            responseBytes.acquire(bytes);
        }
        return sends;
    }

    /** Removes a closed connection from the count. */
    void connectionClosed(ConnectionGuard connection) {
        budgets.closed(connection);
        connections.release(1);
    }
}
