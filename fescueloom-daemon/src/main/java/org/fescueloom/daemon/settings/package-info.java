/** The settings file of the daemon and its checks. */
package org.fescueloom.daemon.settings;
