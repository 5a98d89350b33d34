package org.fescueloom.standins.harness;

/** Lists the signals that a test sends to the processes that it has started. */
public enum Signal {
    /** Asks the process to shut down. */
    TERM,
    /** Kills the process. */
    KILL,
    /** Pauses the process. */
    STOP,
    /** Resumes a paused process. */
    CONT
}
