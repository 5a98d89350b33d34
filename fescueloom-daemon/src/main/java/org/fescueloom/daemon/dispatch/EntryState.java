package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Gives an {@link IntakeWriter} access to the state of its entry; called on the event loop of the
 * entry.
 *
 * @param logFailing whether the entry's last read of the operator log has failed
 * @param connectivity whether the entry reaches the log service (itself or through a peer), only
 *     peers, or neither
 * @param peers the addresses of the entries to ask, most likely to succeed first
 * @param jobStored whether the entry knows that a job is stored
 * @param dispatcherAlive whether the entry is the dispatcher or has recently heard from it
 */
record EntryState(
        BooleanSupplier logFailing,
        Supplier<Connectivity> connectivity,
        Supplier<List<String>> peers,
        Predicate<String> jobStored,
        BooleanSupplier dispatcherAlive) {}
