package org.fescueloom.daemon.dispatch;

/** Names the parts of the system that an entry can reach. */
enum Connectivity {
    /** The entry can reach the log service, or another entry that can reach it. */
    SERVED,
    /** The entry can reach other entries, but none of them can reach the log service. */
    LOG_DOWN,
    /** The entry can reach neither the log service nor any other entry. */
    CUT_OFF
}
