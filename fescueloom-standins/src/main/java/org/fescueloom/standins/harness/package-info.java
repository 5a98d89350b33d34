/** Starts processes for tests, sends them signals, and breaks the connections between them. */
package org.fescueloom.standins.harness;
