/** A stand-in for the log service of the platform. */
package org.fescueloom.standins.log;
