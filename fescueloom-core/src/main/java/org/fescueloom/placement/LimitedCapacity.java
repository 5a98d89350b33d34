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
    public long accelerators(int worker) {
        long set = delegate.accelerators(worker);
        int count = Math.min(limits[worker], Long.bitCount(set));
        return AcceleratorSets.lowest(set, count);
    }

    @Override
    public int cpus(int worker) {
        return delegate.cpus(worker);
    }

    @Override
    public long memoryMb(int worker) {
        return delegate.memoryMb(worker);
    }
}
