package org.fescueloom.standins.worker;

/**
 * Reports the resources of the leases with running tasks on a worker at one point in time.
 *
 * @param sampledMillis the time of the sample, in milliseconds since the epoch
 * @param accelerators the number of accelerators
 * @param cpus the number of processor cores
 * @param memoryMb the memory, in mebibytes
 */
public record WorkerUsage(long sampledMillis, int accelerators, int cpus, long memoryMb) {}
