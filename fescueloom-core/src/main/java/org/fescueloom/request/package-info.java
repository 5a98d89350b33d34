/**
 * Decisions about requests: which upstream, in which order, how often, and what became of an
 * attempt. The time is always handed in, in nanoseconds of one monotonic clock.
 */
package org.fescueloom.request;
