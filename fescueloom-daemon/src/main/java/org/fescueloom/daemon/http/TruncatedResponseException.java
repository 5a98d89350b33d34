package org.fescueloom.daemon.http;

import java.io.IOException;

/** Reports that a response began to arrive but is incomplete. */
public class TruncatedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param cause the failure that interrupted the response, not null
     */
    public TruncatedResponseException(IOException cause) {
        super(cause.getMessage(), cause);
    }
}
