/** Typed responses of the API for callers and operators, which the command-line tool also reads. */
package org.fescueloom.report;
