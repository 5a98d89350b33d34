/** Types of every failure that a process reports, with the outcome that each one promises. */
package org.fescueloom.failure;
