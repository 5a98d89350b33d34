/**
 * Jobs that consist of steps of tasks: their submission, the state of each task, and the stored
 * form of both.
 *
 * <p>No class here uses a clock or a socket. {@link org.fescueloom.work.WorkJob} is the only
 * mutable type; it is confined to the event loop of the dispatcher.
 */
package org.fescueloom.work;
