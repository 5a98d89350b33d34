/** The entry: takes requests from callers and brings each to one whole answer. */
package org.fescueloom.daemon.entry;
