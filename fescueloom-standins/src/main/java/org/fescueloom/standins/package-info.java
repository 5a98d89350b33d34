/**
 * Programs that simulate the components around this system in tests and in the demonstration, and
 * inject faults on request.
 */
package org.fescueloom.standins;
