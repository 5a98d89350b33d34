/**
 * Start and lease renewal of one gang: all its members run, or none does.
 *
 * <p>A planner starts a gang in two steps with {@link org.fescueloom.gang.GangLifecycle}: it
 * requests a lease for every member, and starts the tasks only after all leases are granted. From
 * then on lease keepers apply {@link org.fescueloom.gang.KeeperPolicy}: they renew all leases while
 * every member runs, and no lease otherwise. {@link org.fescueloom.gang.LeaseTimings} bounds the
 * time for which some members may run after another has died.
 */
package org.fescueloom.gang;
