/**
 * Settings that operators make for queues and customers, and the reports of upstreams about
 * themselves.
 */
package org.fescueloom.fleet;
