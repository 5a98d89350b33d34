package org.fescueloom.daemon.dispatch;

/** Says that another life of an upstream answered than the one that was meant. */
public final class BootMismatchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param instance the upstream that was meant, not null
     */
    public BootMismatchException(String instance) {
        super("another instance answered in place of " + instance);
    }
}
