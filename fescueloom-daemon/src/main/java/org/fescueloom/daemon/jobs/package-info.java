/**
 * Runs gang jobs in the daemon: HTTP routes, planning, starting and stopping gangs, renewing
 * leases.
 */
package org.fescueloom.daemon.jobs;
