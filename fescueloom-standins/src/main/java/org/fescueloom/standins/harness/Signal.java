package org.fescueloom.standins.harness;

/** Names the signals that a test sends to its own processes. */
public enum Signal {
    /** Asks for an orderly end. */
    TERM,
    /** Ends at once. */
    KILL,
    /** Pauses the whole process. */
    STOP,
    /** Lets a paused process go on. */
    CONT
}
