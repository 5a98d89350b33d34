/** The daemon fescueloomd: its start, its two roles (entry and agent) and its shutdown. */
package org.fescueloom.daemon;
