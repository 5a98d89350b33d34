/**
 * Run lengths: learns from the ends of runs how long tasks of a kind take on an average upstream,
 * and predicts the length of new runs and the remaining time of running ones.
 *
 * <p>The package reads no clock; times are arguments. {@link org.fescueloom.length.RunLengthModel}
 * is the entry point.
 */
package org.fescueloom.length;
