package org.fescueloom.placement;

/**
 * Is a set of workers within one bound of adjacency.
 *
 * @param name the name of the worker, rack or zone, or "cluster"
 * @param workers the indexes of its workers in the topology
 */
record TopologyDomain(String name, int[] workers) {}
