/** The command-line tool fescueloom: it asks an entry over the caller and operator API. */
package org.fescueloom.cli;
