package org.fescueloom.standins.worker;

/**
 * Reports what the tasks of a worker used at a moment in the past.
 *
 * @param sampledMillis when it was measured, in milliseconds since the epoch
 * @param accelerators how many accelerators were busy
 * @param cpus how many processor cores were busy
 * @param memoryMb the memory in use, in mebibytes
 */
public record WorkerUsage(long sampledMillis, int accelerators, int cpus, long memoryMb) {}
