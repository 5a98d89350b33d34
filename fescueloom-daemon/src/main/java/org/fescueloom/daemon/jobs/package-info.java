/** Jobs in the daemon: planning, the start and stop of gangs, the keeping of leases, the routes. */
package org.fescueloom.daemon.jobs;
