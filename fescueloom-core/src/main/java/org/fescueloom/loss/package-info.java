/** The work of runs that ended without a result, by cause, customer and queue. */
package org.fescueloom.loss;
