/** The command-line tool fescueloom, a client of the caller and operator API of the entries. */
package org.fescueloom.cli;
