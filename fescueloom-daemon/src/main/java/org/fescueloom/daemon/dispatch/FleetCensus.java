package org.fescueloom.daemon.dispatch;

/**
 * Counts the agents that a dispatcher knows, by what it knows of them.
 *
 * @param available the agents whose upstreams may take tasks now
 * @param unheard the agents that the job log names and that have not reported on their upstream to
 *     this dispatcher
 * @param unable the agents that have reported, and whose upstreams may not take tasks
 */
record FleetCensus(int available, int unheard, int unable) {}
