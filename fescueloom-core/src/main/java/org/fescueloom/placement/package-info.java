/**
 * Planning of gang jobs: what runs where, what is preempted or moved for it, what waits and why.
 *
 * <p>A plan is a pure function of {@link org.fescueloom.placement.PlanInput}. The invariant of
 * every plan is that each customer's unclaimed guaranteed blocks can still be laid out, all at
 * once, on accelerators that are free or held by borrowers.
 */
package org.fescueloom.placement;
