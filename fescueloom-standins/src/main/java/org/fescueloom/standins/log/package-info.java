/** The stand-in of the platform's log service. */
package org.fescueloom.standins.log;
