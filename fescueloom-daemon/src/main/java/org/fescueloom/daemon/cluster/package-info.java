/** What all processes share: the log, the configuration, the members, and the operators' calls. */
package org.fescueloom.daemon.cluster;
