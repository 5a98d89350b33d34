/**
 * Request handling of an entry: accepts requests from callers, sends attempts to agents and returns
 * one complete response or failure for each request.
 */
package org.fescueloom.daemon.entry;
