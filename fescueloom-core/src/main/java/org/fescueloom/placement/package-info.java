/**
 * Planning of gang jobs: which jobs start and on which workers, which gangs are preempted or moved
 * for them, and which jobs wait and why.
 *
 * <p>A plan is a pure function of {@link org.fescueloom.placement.PlanInput}. The invariant of
 * every plan: if the unclaimed parts of all guaranteed blocks could be laid out at the same time
 * before the round, on accelerators that are free or held by borrowers, they still can be after it.
 * A borrower is a gang that uses accelerators beyond its customer's guarantee.
 */
package org.fescueloom.placement;
