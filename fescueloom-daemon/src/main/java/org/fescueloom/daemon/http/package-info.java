/** Thin layer over the HTTP server and client libraries with typed calls, replies and failures. */
package org.fescueloom.daemon.http;
