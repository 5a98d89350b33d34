/**
 * Decisions about requests: the choice of the upstream, the order of attempts, retries, and the
 * outcome of attempts. The current time is always a parameter, in nanoseconds of one monotonic
 * clock.
 */
package org.fescueloom.request;
