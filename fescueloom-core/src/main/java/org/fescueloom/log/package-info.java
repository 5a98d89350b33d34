/** Records of the log service of the platform, and folds of these records into a state. */
package org.fescueloom.log;
