package org.fescueloom.daemon.dispatch;

/** Names what an entry reaches, as far as it knows. */
enum Connectivity {
    /** The log service, or an entry that the log service serves. */
    SERVED,
    /** Other entries, but the log service serves none of them. */
    LOG_DOWN,
    /** Neither the log service nor any other entry. */
    CUT_OFF
}
