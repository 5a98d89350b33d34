/**
 * Helpers for tests that start processes, send signals to the processes, and disrupt the
 * connections between the processes.
 */
package org.fescueloom.standins.harness;
