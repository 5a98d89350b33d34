package org.fescueloom.standins.demo;

/** Ends the demonstration early. */
class DemoException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what went wrong, not null
     */
    DemoException(String message) {
        super(message);
    }
}
