/** The stand-in of a customer's upstream. */
package org.fescueloom.standins.upstream;
