/**
 * InitialState and run of one gang: all members or none.
 *
 * <p>A planner starts a gang in two steps with {@link org.fescueloom.gang.GangLifecycle}: it takes
 * leases on every member, and only when all are granted it starts the tasks. From then on keepers
 * renew the leases by {@link org.fescueloom.gang.KeeperPolicy}: all of them while every member
 * runs, or none. How long a part may run while another has died follows from {@link
 * org.fescueloom.gang.LeaseTimings}.
 */
package org.fescueloom.gang;
