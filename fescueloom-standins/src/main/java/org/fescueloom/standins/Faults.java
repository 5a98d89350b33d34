package org.fescueloom.standins;

import java.util.List;

/**
 * Holds the faults that a stand-in injects.
 *
 * @param seed the seed of the random choice of affected calls; null is treated as 0
 * @param faults the faults; null is treated as none
 */
public record Faults(Long seed, List<Fault> faults) {
    /** An empty list of faults. */
    public static final Faults NONE = new Faults(0L, List.of());

    /** Copies the faults and replaces null by the default values. */
    public Faults {
        seed = seed == null ? 0L : seed;
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /**
     * Returns a list of faults with seed 0.
     *
     * @param faults the faults, not null
     * @return the list, never null
     */
    public static Faults of(Fault... faults) {
        return new Faults(0L, List.of(faults));
    }
}
