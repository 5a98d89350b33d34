package org.fescueloom.standins.demo;

/** Signals that the demonstration cannot continue. */
class DemoException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the reason, not null
     */
    DemoException(String message) {
        super(message);
    }
}
