/** Structured log events, one line each, over the logging library. */
package org.fescueloom.daemon.logging;
