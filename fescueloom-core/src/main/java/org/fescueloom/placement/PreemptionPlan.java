package org.fescueloom.placement;

import java.util.List;

/**
 * Describes one way to free the capacity that a gang needs by preempting or moving other gangs.
 *
 * @param victims the gangs whose capacity is needed, including gangs that are stopping already
 * @param members the placements of the tasks once the victims have stopped
 * @param lostAcceleratorMillis the lost work, in accelerator milliseconds: milliseconds multiplied
 *     by the accelerators of the victims
 */
record PreemptionPlan(
        List<RunningGang> victims, List<TaskPlacement> members, long lostAcceleratorMillis) {}
