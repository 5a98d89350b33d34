package org.fescueloom.placement;

/** Limits the number of accelerators of each worker that another capacity provides. */
final class LimitedCapacity implements Capacity {
    private final Capacity delegate;
    private final int[] limits;

    LimitedCapacity(Capacity delegate, int[] limits) {
        this.delegate = delegate;
        this.limits = limits;
    }

    @Override
    public long accelerators(int workerIndex) {
        long set = delegate.accelerators(workerIndex);
        int count = Math.min(limits[workerIndex], Long.bitCount(set));
        return AcceleratorSets.lowest(set, count);
    }

    @Override
    public int cpus(int workerIndex) {
        return delegate.cpus(workerIndex);
    }

    @Override
    public long memoryMb(int workerIndex) {
        return delegate.memoryMb(workerIndex);
    }
}
