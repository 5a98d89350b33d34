/** The stand-in of the platform's workers. */
package org.fescueloom.standins.worker;
