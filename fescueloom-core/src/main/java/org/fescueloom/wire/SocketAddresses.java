package org.fescueloom.wire;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks texts that name a socket by IP number and port; names of hosts are never resolved. */
public final class SocketAddresses {
    /** What a valid address looks like, for messages to people. */
    public static final String EXPECTED_FORM = "an IP number and a port, such as 10.0.0.7:7100";

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
     * Tells whether a text is an IP number with a port that a process can connect to.
     *
     * @param text the text, may be null
     * @return true if the port is from 1 to 65535 and the IP number is not the wildcard
     */
    public static boolean isConnectable(String text) {
        return isListenable(text) && port(text) != 0 && !isWildcard(text);
    }

    /**
     * Tells whether a text is an IP number with a port that a process can listen on.
     *
     * @param text the text, may be null
     * @return true if the port is from 0, for any free one, to 65535
     */
    public static boolean isListenable(String text) {
        return text != null && ADDRESS.matcher(text).matches() && port(text) <= MAX_PORT;
    }

    /**
     * Tells whether an address names every network interface instead of one.
     *
     * @param address an address that can be listened on, not null
     * @return true for 0.0.0.0 and [::]
     */
    public static boolean isWildcard(String address) {
        String host = host(address);
        return "0.0.0.0".equals(host) || "[::]".equals(host);
    }

    /**
     * Returns the IP number of an address.
     *
     * @param address an address that can be listened on, not null
     * @return the IP number, never null; in brackets for IP version 6
     * @throws IllegalArgumentException if the text is no address
     */
    public static String host(String address) {
        return match(address).group(1);
    }

    /**
     * Returns the port of an address.
     *
     * @param address an address that can be listened on, not null
     * @return the port
     * @throws IllegalArgumentException if the text is no address
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
