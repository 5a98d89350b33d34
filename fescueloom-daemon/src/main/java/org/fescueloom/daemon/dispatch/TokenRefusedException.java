package org.fescueloom.daemon.dispatch;

/** Thrown if an upstream refuses a call because it has received a higher fencing token. */
public final class TokenRefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param instance the identifier of the upstream, not null
     */
    public TokenRefusedException(String instance) {
        super(instance + " has received a higher fencing token");
    }
}
