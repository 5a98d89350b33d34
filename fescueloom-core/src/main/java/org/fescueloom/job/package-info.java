/**
 * Gang jobs: their submission, the records that store them, and the state folded from the records.
 */
package org.fescueloom.job;
