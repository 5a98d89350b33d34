/**
 * Decides which waiting tasks start where, and which running ones make room.
 *
 * <p>Pure: the same input gives the same plan. {@link org.fescueloom.schedule.TaskScheduler} is the
 * entry point.
 */
package org.fescueloom.schedule;
