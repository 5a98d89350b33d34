/**
 * Scheduling of tasks: decides on which upstreams waiting tasks start, and which running tasks are
 * stopped for them.
 *
 * <p>The plan depends on the input only; the same input gives the same plan. {@link
 * org.fescueloom.schedule.TaskScheduler} is the entry point.
 */
package org.fescueloom.schedule;
