package org.fescueloom.daemon.dispatch;

/** Thrown if no process listens at the address of an upstream. */
public final class UpstreamRefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param cause the failure of the connection, not null
     */
    public UpstreamRefusedException(Throwable cause) {
        super("no process listens at the address of the upstream", cause);
    }
}
