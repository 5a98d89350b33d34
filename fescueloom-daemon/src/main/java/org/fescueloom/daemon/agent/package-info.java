/**
 * Request handling of an agent: assigns the slots of the agent's upstream to attempts, sends the
 * attempts to the upstream, and stores the states and responses of attempts.
 */
package org.fescueloom.daemon.agent;
