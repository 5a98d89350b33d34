/**
 * Runs jobs of tasks on upstreams: one entry dispatches, each agent carries out what it is told.
 *
 * <p>The dispatcher keeps every decision in a keyed log before it acts on it, and appends only
 * while nobody else has appended: a dispatcher that was replaced fails with its next append. Ports
 * to the outside are {@link org.fescueloom.daemon.dispatch.KeyedLog} and {@link
 * org.fescueloom.daemon.dispatch.UpstreamControl}.
 */
package org.fescueloom.daemon.dispatch;
