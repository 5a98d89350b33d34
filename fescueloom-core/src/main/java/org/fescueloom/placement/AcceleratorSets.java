package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;

/** Works on sets of accelerator places of one worker, bit i for the accelerator at place i. */
final class AcceleratorSets {
    private AcceleratorSets() {}

    /** Returns the set of the lowest places. */
    static long first(int count) {
        return count >= Long.SIZE ? -1L : (1L << count) - 1;
    }

    /** Returns the set of some places. */
    static long of(List<Integer> places) {
        long set = 0L;
        for (int place : places) {
            set |= 1L << place;
        }
        return set;
    }

    /** Returns the places of a set in ascending order. */
    static List<Integer> indexes(long set) {
        List<Integer> places = new ArrayList<>(Long.bitCount(set));
        for (long rest = set; rest != 0; rest &= rest - 1) {
            places.add(Long.numberOfTrailingZeros(rest));
        }
        return places;
    }

    /**
     * Chooses places in the smallest free buddy cell that holds them all.
     *
     * <p>A cell of level k is 2^k places from a multiple of 2^k on. Where no whole cell is free the
     * lowest free places are taken.
     *
     * @param free the free places, at least {@code count} of them
     * @param count how many to choose
     * @return the chosen places
     */
    static long choose(long free, int count) {
        if (count == 0) {
            return 0L;
        }
        int needed = Integer.highestOneBit(2 * count - 1);
        long best = 0L;
        int bestParent = Integer.MAX_VALUE;
        for (int start = 0; start + needed <= Long.SIZE; start += needed) {
            long cell = first(needed) << start;
            if ((free & cell) == cell) {
                int parent = freeInEnclosingCells(free, start, needed);
                if (parent < bestParent) {
                    bestParent = parent;
                    best = cell;
                }
            }
        }
        return lowest(best == 0L ? free : best, count);
    }

    private static int freeInEnclosingCells(long free, int start, int size) {
        int score = 0;
        for (int level = size * 2; level <= Long.SIZE; level *= 2) {
            long cell = first(level) << (start / level * level);
            score += Long.bitCount(free & cell);
        }
        return score;
    }

    /** Returns the lowest places of a set, at most as many as it has. */
    static long lowest(long set, int count) {
        long chosen = 0L;
        long rest = set;
        for (int i = 0; i < count; i++) {
            chosen |= Long.lowestOneBit(rest);
            rest &= rest - 1;
        }
        return chosen;
    }
}
