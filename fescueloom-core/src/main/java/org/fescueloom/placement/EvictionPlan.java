package org.fescueloom.placement;

import java.util.List;

/**
 * Describes one way to free the capacity that a gang needs.
 *
 * @param victims the gangs to stop, including gangs that are stopping already
 * @param members the placements of the tasks once the victims have stopped
 * @param lostAcceleratorMillis the lost work, in accelerator milliseconds: milliseconds multiplied
 *     by the accelerators of the victims
 */
record EvictionPlan(
        List<RunningGang> victims, List<TaskPlacement> members, long lostAcceleratorMillis) {}
