package org.fescueloom.standins;

import java.util.Objects;

/** Has what every stand-in offers: where it listens, and the faults that it shows. */
public abstract class StandIn implements AutoCloseable {
    private final StandInServer server;

    /**
     * Creates a stand-in that does not listen yet.
     *
     * @param listen where it will listen, not null
     */
    protected StandIn(ListenAddress listen) {
        server = new StandInServer(Objects.requireNonNull(listen, "listen"), this::records);
    }

    /** Starts to listen. */
    public void start() {
        server.start();
    }

    /**
     * Returns what this stand-in really did.
     *
     * @return a value with a JSON form, never null
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
     * Returns where this stand-in listens.
     *
     * @return the address as "address:port", never null
     */
    public String address() {
        return server.address();
    }

    /**
     * Replaces the faults that this stand-in shows.
     *
     * @param faults the faults, not null
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
