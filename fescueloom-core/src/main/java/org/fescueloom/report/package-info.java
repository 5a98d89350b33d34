/** Typed answers of the caller and operator API that people and the command-line tool read. */
package org.fescueloom.report;
