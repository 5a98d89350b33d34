package org.fescueloom.standins;

import java.util.Objects;

/**
 * Simulates a component that is not part of this system: listens on an address, injects faults into
 * calls, and records the events that it observes.
 */
public abstract class StandIn implements AutoCloseable {
    private final StandInServer server;

    /**
     * Creates a stand-in that does not listen yet.
     *
     * @param listen the address to listen on, not null
     */
    protected StandIn(ListenAddress listen) {
        server = new StandInServer(Objects.requireNonNull(listen, "listen"), this::records);
    }

    /** Starts listening. */
    public void start() {
        server.start();
    }

    /**
     * Returns the events that this stand-in has recorded.
     *
     * @return a value that can be written as JSON, never null
     */
    public abstract Object records();

    /**
     * Returns the port on which this stand-in listens.
     *
     * @return the port, 0 before the start
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the address on which this stand-in listens.
     *
     * @return the address as "address:port", never null
     */
    public String address() {
        return server.address();
    }

    /**
     * Replaces the faults that this stand-in injects.
     *
     * @param faults the new faults, not null
     */
    public void faults(Faults faults) {
        server.faults().replace(faults);
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * Returns the server of this stand-in.
     *
     * @return the server, never null
     */
    protected final StandInServer server() {
        return server;
    }
}
