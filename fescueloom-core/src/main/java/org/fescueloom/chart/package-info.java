/** State charts, which are defined in JSON resources and interpreted by the code. */
package org.fescueloom.chart;
