package org.fescueloom.placement;

import java.util.List;

/**
 * Is one way to make room for a gang.
 *
 * @param victims the gangs to stop; those that are ending already included
 * @param members where the tasks of the gang then go
 * @param lostAcceleratorMillis the work that is lost, in accelerator milliseconds
 */
record EvictionPlan(
        List<RunningGang> victims, List<TaskPlacement> members, long lostAcceleratorMillis) {}
