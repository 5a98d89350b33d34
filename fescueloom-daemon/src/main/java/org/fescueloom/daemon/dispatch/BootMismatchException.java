package org.fescueloom.daemon.dispatch;

/** Thrown if another incarnation of an upstream responds than the addressed one. */
public final class BootMismatchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param instance the identifier of the addressed upstream, not null
     */
    public BootMismatchException(String instance) {
        super("another instance responded in place of " + instance);
    }
}
