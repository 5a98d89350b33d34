package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Provides operations on sets of accelerators of one worker. Bit i of a set stands for the
 * accelerator with index i.
 */
final class AcceleratorSets {
    private AcceleratorSets() {}

    /** Returns the set of the indexes from 0 to {@code count - 1}. */
    static long first(int count) {
        // A shift by 64 would leave 1L unchanged.
        return count >= Long.SIZE ? -1L : (1L << count) - 1;
    }

    /** Returns the set of the given indexes. */
    static long of(List<Integer> indexes) {
        long set = 0L;
        for (int index : indexes) {
            set |= 1L << index;
        }
        return set;
    }

    /** Returns the indexes in a set in ascending order. */
    static List<Integer> indexes(long set) {
        List<Integer> indexes = new ArrayList<>(Long.bitCount(set));
        for (long rest = set; rest != 0; rest &= rest - 1) {
            indexes.add(Long.numberOfTrailingZeros(rest));
        }
        return indexes;
    }

    /**
     * Chooses accelerators as a buddy allocator does, within the smallest cell that can hold them
     * all.
     *
     * <p>A cell of level k consists of 2^k consecutive indexes, of which the first is a multiple of
     * 2^k. Among the wholly free cells, the method takes the one whose enclosing cells have the
     * fewest free accelerators. If no cell of that size is wholly free, the lowest free indexes are
     * chosen.
     *
     * @param free the set of the free accelerators, which has at least {@code count} elements
     * @param count the number of accelerators to choose
     * @return the set of the chosen accelerators
     */
    static long choose(long free, int count) {
        if (count == 0) {
            return 0L;
        }
        // The smallest power of two that is not less than count.
        int cellSize = Integer.highestOneBit(2 * count - 1);
        long bestCell = 0L;
        int bestEnclosingFree = Integer.MAX_VALUE;
        for (int start = 0; start + cellSize <= Long.SIZE; start += cellSize) {
            long cell = first(cellSize) << start;
            if ((free & cell) == cell) {
                int enclosingFree = freeInEnclosingCells(free, start, cellSize);
                if (enclosingFree < bestEnclosingFree) {
                    bestEnclosingFree = enclosingFree;
                    bestCell = cell;
                }
            }
        }
        return lowest(bestCell == 0L ? free : bestCell, count);
    }

    /**
     * Returns the sum of the numbers of free accelerators in all larger cells that contain a cell.
     */
    private static int freeInEnclosingCells(long free, int start, int size) {
        int freeCount = 0;
        for (int enclosingSize = size * 2; enclosingSize <= Long.SIZE; enclosingSize *= 2) {
            long cell = first(enclosingSize) << (start / enclosingSize * enclosingSize);
            freeCount += Long.bitCount(free & cell);
        }
        return freeCount;
    }

    /**
     * Returns the set of the lowest {@code count} indexes in a set; the whole set if it is smaller.
     */
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
