package org.fescueloom.daemon.http;

import java.util.Locale;

/** Names the limits that a server enforces, in counters and log lines. */
enum ServerLimit {
    /** The open connections of the process. */
    CONNECTIONS,
    /** The requests that wait on one connection for the request before them. */
    PIPELINED_REQUESTS,
    /** The bytes of request heads, over all connections of the process. */
    HEAD_BYTES,
    /** The bytes of request bodies, over all connections of the process. */
    BODY_BYTES,
    /** The bytes of unsent responses, over all connections of the process. */
    RESPONSE_BYTES,
    /** The number of values in a JSON body. */
    JSON_VALUES,
    /** The time in which a request must arrive. */
    RECEIVE_TIME,
    /** The time in which a client must take a response. */
    SEND_TIME,
    /** The time that a connection may be open without a request. */
    IDLE_TIME;

    /** Returns whether clients that behave well reach the limit, too. */
    boolean reachedByOrdinaryClients() {
        return this == IDLE_TIME;
    }

    /** Returns the name of the counter. */
    String counter() {
        return "limits." + text();
    }

    /** Returns the name in log lines. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
