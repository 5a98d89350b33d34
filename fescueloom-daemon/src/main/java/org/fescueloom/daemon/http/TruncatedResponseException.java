package org.fescueloom.daemon.http;

import java.io.IOException;

/** Reports that an answer began to arrive but did not arrive whole. */
public class TruncatedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param cause what cut the answer short, not null
     */
    public TruncatedResponseException(IOException cause) {
        super(cause.getMessage(), cause);
    }
}
