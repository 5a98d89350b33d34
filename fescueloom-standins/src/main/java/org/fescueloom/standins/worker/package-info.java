/** A stand-in for a worker of the platform. */
package org.fescueloom.standins.worker;
