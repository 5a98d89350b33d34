/** The settings of the daemon and the loader that reads and checks the settings file. */
package org.fescueloom.daemon.settings;
