package org.fescueloom.placement;

/**
 * Represents a topology domain: one worker, the workers of one rack or availability zone, or all
 * workers of the cluster.
 *
 * @param name the name of the worker, rack or zone, or "cluster"
 * @param workers the indexes of the workers in the {@link Topology}
 */
record TopologyDomain(String name, int[] workers) {}
