package org.fescueloom.standins;

import java.util.Objects;

/**
 * Names where a stand-in listens.
 *
 * @param host the IP number, not null
 * @param port the port, from 0 (any free one) to 65535
 */
public record ListenAddress(String host, int port) {
    /** Any free port on loopback. */
    public static final ListenAddress ANY = new ListenAddress("127.0.0.1", 0);

    private static final int MAX_PORT = 65535;

    /** Checks the host and the range of the port. */
    public ListenAddress {
        Objects.requireNonNull(host, "host");
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port is out of range: " + port);
        }
    }

    /**
     * Reads an address from text.
     *
     * @param text the address as "address:port", not null
     * @return the address, never null
     * @throws IllegalArgumentException if the text has another form
     */
    public static ListenAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not of the form address:port: " + text);
        }
        return new ListenAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
