/**
 * A load generator that sends requests to entries or upstreams at planned times (open loop), checks
 * the responses and measures latencies.
 */
package org.fescueloom.standins.load;
