/**
 * The demonstration: runs a small but complete system as separate processes and checks the results.
 */
package org.fescueloom.standins.demo;
