package org.fescueloom.daemon.dispatch;

/**
 * Holds the outcome of an append.
 *
 * @param appended whether the records are stored; if false, none of them is or will be stored
 * @param endOffset the offset at which the log ends now
 */
public record AppendOutcome(boolean appended, long endOffset) {}
