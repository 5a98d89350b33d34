/** Timers that all parts of the daemon use. */
package org.fescueloom.daemon.concurrent;
