package org.fescueloom.daemon.dispatch;

/**
 * Tells an agent to stop a run, or to make sure that it never starts.
 *
 * @param task the name of the task, not null
 * @param run the number of the run
 * @param boot the life of the upstream that is meant, not null
 */
public record StopOrder(String task, int run, String boot) {}
