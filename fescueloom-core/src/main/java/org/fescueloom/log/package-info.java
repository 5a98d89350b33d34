/** Records of the platform's log service and their fold into state. */
package org.fescueloom.log;
