/** Jobs: what callers submit, the records that keep them, and the state folded from the records. */
package org.fescueloom.job;
