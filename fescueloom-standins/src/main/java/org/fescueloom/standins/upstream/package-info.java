/** A stand-in for an upstream of a customer. */
package org.fescueloom.standins.upstream;
