/** Threads and futures as all parts of the daemon use them. */
package org.fescueloom.daemon.concurrent;
