package org.fescueloom.daemon.dispatch;

/**
 * Tells what became of a conditional append.
 *
 * @param appended whether the records are stored; if not, nothing is and nothing will be
 * @param endOffset where the log ends now
 */
public record AppendOutcome(boolean appended, long endOffset) {}
