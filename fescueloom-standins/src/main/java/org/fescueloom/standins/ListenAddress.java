package org.fescueloom.standins;

import java.util.Objects;

/**
 * Holds the address on which a stand-in listens.
 *
 * @param host the IP address, not null
 * @param port the port, from 0 (any free port) to 65535
 */
public record ListenAddress(String host, int port) {
    /** Any free port of the loopback interface. */
    public static final ListenAddress ANY = new ListenAddress("127.0.0.1", 0);

    private static final int MAX_PORT = 65535;

    /** Checks that the host is not null and that the port is in range. */
    public ListenAddress {
        Objects.requireNonNull(host, "host");
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be from 0 to 65535: " + port);
        }
    }

    /**
     * Parses an address.
     *
     * @param text the address as "address:port", not null
     * @return the address, never null
     * @throws IllegalArgumentException if the text does not have this form
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
