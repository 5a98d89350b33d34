/** Counters and timers of a process, and their JSON representation. */
package org.fescueloom.daemon.metrics;
