/** Programs that stand in for the platform in tests and the demo, with the faults they can show. */
package org.fescueloom.standins;
