/** HTTP server and client on top of libraries, with typed requests, responses and failures. */
package org.fescueloom.daemon.http;
