package org.fescueloom.wire;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Validates and splits socket addresses of the form "IP address:port". Host names are not accepted
 * and never resolved.
 */
public final class SocketAddresses {
    /** A description of a valid address for error messages. */
    public static final String EXPECTED_FORM = "an IP address and a port, such as 10.0.0.7:7100";

    private static final int MAX_PORT = 65535;
    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern ADDRESS =
            Pattern.compile(
                    "("
                            + OCTET
                            + "(?:\\."
                            + OCTET
                            + "){3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\])"
                            + ":([0-9]{1,5})");

    private SocketAddresses() {}

    /**
     * Tests whether a text is an address to which a process can connect.
     *
     * @param text the text, may be null
     * @return true if the text is a valid address, the port is from 1 to 65535 and the IP address
     *     is not the wildcard address
     */
    public static boolean isConnectable(String text) {
        return isListenable(text) && port(text) != 0 && !isWildcard(text);
    }

    /**
     * Tests whether a text is an address on which a process can listen.
     *
     * @param text the text, may be null
     * @return true if the text is a valid address and the port is from 0 to 65535; port 0 stands
     *     for any free port
     */
    public static boolean isListenable(String text) {
        return text != null && ADDRESS.matcher(text).matches() && port(text) <= MAX_PORT;
    }

    /**
     * Tests whether an address is the wildcard address, which stands for all network interfaces.
     *
     * @param address an address for which {@link #isListenable} returns true, not null
     * @return true for 0.0.0.0 and [::]
     */
    public static boolean isWildcard(String address) {
        String host = host(address);
        return "0.0.0.0".equals(host) || "[::]".equals(host);
    }

    /**
     * Returns the IP address of a socket address.
     *
     * @param address an address for which {@link #isListenable} returns true, not null
     * @return the IP address, never null; in brackets for IPv6
     * @throws IllegalArgumentException if the text is not a valid address
     */
    public static String host(String address) {
        return match(address).group(1);
    }

    /**
     * Returns the port of a socket address.
     *
     * @param address an address for which {@link #isListenable} returns true, not null
     * @return the port
     * @throws IllegalArgumentException if the text is not a valid address
     */
    public static int port(String address) {
        return Integer.parseInt(match(address).group(2));
    }

    private static Matcher match(String address) {
        Matcher matcher = ADDRESS.matcher(address);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not " + EXPECTED_FORM + ": " + address);
        }
        return matcher;
    }
}
