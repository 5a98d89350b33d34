/** The daemon fescueloomd: its start, its two roles and its shutdown. */
package org.fescueloom.daemon;
