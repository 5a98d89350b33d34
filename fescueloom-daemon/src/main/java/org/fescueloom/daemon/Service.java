package org.fescueloom.daemon;

import org.fescueloom.daemon.http.HttpServer;

/** Is a part of a daemon with its own routes, background work and shutdown. */
public interface Service {
    /**
     * Adds the routes of the service; called once, before the server listens.
     *
     * @param server the server, not null
     */
    default void registerRoutes(HttpServer server) {}

    /**
     * Starts the background work; called once, when the server listens.
     *
     * @param address where others reach the daemon, as "address:port", not null
     */
    default void start(String address) {}

    /** Takes no new work and returns when the work in progress has ended; called once. */
    default void drain() {}

    /** Ends the background work; called once, after all services have drained. */
    default void close() {}
}
