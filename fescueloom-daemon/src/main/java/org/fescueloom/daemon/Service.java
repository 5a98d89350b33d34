package org.fescueloom.daemon;

import org.fescueloom.daemon.http.HttpServer;

/** Defines a part of a daemon that has its own HTTP routes, background work and shutdown. */
public interface Service {
    /**
     * Registers the HTTP routes of the service; called once, before the server listens.
     *
     * @param server the server of the daemon, not null
     */
    default void registerRoutes(HttpServer server) {}

    /**
     * Starts the background work; called once, after the server has begun to listen.
     *
     * @param advertisedAddress the address at which other processes reach the daemon, as
     *     "address:port", not null
     */
    default void start(String advertisedAddress) {}

    /** Stops accepting new work and waits for the work in progress; called once. */
    default void drain() {}

    /** Stops the background work; called once, after all services have drained. */
    default void close() {}
}
