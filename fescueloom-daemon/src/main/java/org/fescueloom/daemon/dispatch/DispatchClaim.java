package org.fescueloom.daemon.dispatch;

/**
 * Is the record by which an entry becomes the dispatcher.
 *
 * @param address where it is reached, not null
 * @param process names this life of the entry, not null
 */
record DispatchClaim(String address, String process) {}
