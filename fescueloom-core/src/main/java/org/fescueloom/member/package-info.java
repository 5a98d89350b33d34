/**
 * Membership of the system: the live processes, their addresses, and the assignment of keys to
 * members.
 */
package org.fescueloom.member;
