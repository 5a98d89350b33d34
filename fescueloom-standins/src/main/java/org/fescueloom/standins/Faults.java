package org.fescueloom.standins;

import java.util.List;

/**
 * Lists the faults that a stand-in shows from now on.
 *
 * @param seed the seed of the choice of calls; null counts as 0
 * @param faults the faults; null counts as none
 */
public record Faults(Long seed, List<Fault> faults) {
    /** No fault at all. */
    public static final Faults NONE = new Faults(0L, List.of());

    /** Copies the faults and fills in what may be left out. */
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
