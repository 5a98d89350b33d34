/** State charts that stand in JSON resources and that the code interprets. */
package org.fescueloom.chart;
