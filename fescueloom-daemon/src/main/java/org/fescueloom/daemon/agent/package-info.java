/** The agent beside an upstream: guards its slots, remembers attempts and keeps their answers. */
package org.fescueloom.daemon.agent;
