/** The types of failures that processes report, each with the outcome of the request. */
package org.fescueloom.failure;
