/** Structured log events, written as one line each through the logging library. */
package org.fescueloom.daemon.logging;
