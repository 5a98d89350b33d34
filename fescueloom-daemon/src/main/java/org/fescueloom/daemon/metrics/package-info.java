/** Counters and timers of a process, and their JSON form. */
package org.fescueloom.daemon.metrics;
