/**
 * Access of all daemons to the log service, the configuration and the members, and the requests of
 * operators.
 */
package org.fescueloom.daemon.cluster;
