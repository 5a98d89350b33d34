/**
 * Jobs as steps of tasks: what a caller asks for, what became of each task, and the form in which
 * that is kept.
 *
 * <p>Everything here is free of clocks and sockets. {@link org.fescueloom.work.WorkJob} is the one
 * mutable type; it is confined to the thread of its owner.
 */
package org.fescueloom.work;
