/**
 * Runs the tasks of jobs on upstreams: one entry is the dispatcher, and each agent executes its
 * orders on one upstream.
 *
 * <p>The dispatcher stores every decision in a keyed log before it acts on the decision. Its
 * appends are conditional on the end offset of the log, so the next append of a replaced dispatcher
 * fails. The interfaces to external systems are {@link org.fescueloom.daemon.dispatch.KeyedLog} and
 * {@link org.fescueloom.daemon.dispatch.UpstreamControl}.
 */
package org.fescueloom.daemon.dispatch;
