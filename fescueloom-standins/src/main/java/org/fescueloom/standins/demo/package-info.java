/** The demonstration: a whole small system as separate processes, with its answers checked. */
package org.fescueloom.standins.demo;
