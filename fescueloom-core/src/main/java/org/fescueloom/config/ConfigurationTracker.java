package org.fescueloom.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fescueloom.wire.ConfigStatus;

/**
 * Combines the reports of the log service and of the peers into one view of the configuration.
 * Thread-safe.
 *
 * <p>The newest version is in force and is never replaced by an older one. A confirmation that a
 * version is the newest is dated by the time at which the call was sent, so its age is never
 * underestimated. The log service counts as unreachable while every known entry reports that it
 * cannot reach the log service.
 *
 * <p>An entry that is about to append a change must not report the log service as unreachable:
 * {@link #beginWrite} stops such reports. Times are in milliseconds of the monotonic clock.
 */
public final class ConfigurationTracker {
    private static final long NEVER = ConfigurationView.NEVER;

    private final boolean isEntry;

    /** The times of the peers' latest reports that the log service is unreachable. */
    private final Map<String, Long> logUnreachableAtMillis = new HashMap<>();

    /** The peers whose last report says that they can reach the log service. */
    private final Set<String> peersReachingLog = new HashSet<>();

    private long version = ConfigurationRecord.NO_VERSION;
    private ConfigurationDocument document = ConfigurationDocument.EMPTY;
    private long confirmedAtMillis = NEVER;
    private long foldedTo = ConfigStatus.NOT_FOLDED;

    /**
     * The time of the last failed call to the log service; {@code NEVER} after a successful one.
     */
    private long logFailedAtMillis = NEVER;

    /**
     * The end of the last write whose change may be in the log and has not been read back; {@code
     * NEVER} if there is none.
     */
    private long unreadWriteAtMillis = NEVER;

    private int writesInProgress;

    /**
     * Creates a tracker without a configuration.
     *
     * @param isEntry whether this process is an entry and can therefore append changes
     */
    public ConfigurationTracker(boolean isEntry) {
        this.isEntry = isEntry;
    }

    /**
     * Records a state that was read up to the end of the log.
     *
     * @param readVersion the version in force
     * @param readDocument the document of this version, not null
     * @param offset the offset below which every record has been folded
     * @param sentAtMillis the time at which the read was sent
     */
    public synchronized void recordLogRead(
            long readVersion, ConfigurationDocument readDocument, long offset, long sentAtMillis) {
        logFailedAtMillis = NEVER;
        if (sentAtMillis >= unreadWriteAtMillis) {
            unreadWriteAtMillis = NEVER;
        }
        if (adoptIfNotOlder(readVersion, readDocument, sentAtMillis)) {
            foldedTo = Math.max(foldedTo, offset);
        }
    }

    /**
     * Records that the log service responded, although the end of the log was not reached or
     * records have expired.
     */
    public synchronized void recordLogReachable() {
        logFailedAtMillis = NEVER;
    }

    /**
     * Records that the log service did not respond.
     *
     * @param nowMillis the current time
     */
    public synchronized void recordLogUnreachable(long nowMillis) {
        logFailedAtMillis = nowMillis;
    }

    /**
     * Records the configuration status that another process reported.
     *
     * @param peer the address of the process, not null
     * @param status the reported status, not null
     * @param sentAtMillis the time at which the call to the process was sent
     */
    public synchronized void recordPeerStatus(String peer, ConfigStatus status, long sentAtMillis) {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(status, "proof");
        if (status.logReachable()) {
            logUnreachableAtMillis.remove(peer);
            peersReachingLog.add(peer);
        } else {
            logUnreachableAtMillis.merge(peer, sentAtMillis, Math::max);
            peersReachingLog.remove(peer);
        }
        long confirmedAt =
                status.ageMillis() == Long.MAX_VALUE ? NEVER : sentAtMillis - status.ageMillis();
        if (adoptIfNotOlder(status.version(), status.document(), confirmedAt)) {
            foldedTo = Math.max(foldedTo, status.foldedTo());
        }
    }

    /**
     * Returns the current view.
     *
     * @param entries the addresses of the other live entries, not null
     * @return the view, never null
     */
    public synchronized ConfigurationView view(Collection<String> entries) {
        return new ConfigurationView(version, document, confirmedAtMillis, outageAtMillis(entries));
    }

    /**
     * Returns the configuration status that this process reports to a peer.
     *
     * @param peerVersion the version that the peer already has
     * @param nowMillis the current time
     * @return the status, never null
     */
    public synchronized ConfigStatus statusForPeer(long peerVersion, long nowMillis) {
        boolean unreachable = ownLogFailureMillis() != NEVER;
        long age = confirmedAtMillis == NEVER ? Long.MAX_VALUE : nowMillis - confirmedAtMillis;
        ConfigurationDocument sent = peerVersion == version ? null : document;
        return new ConfigStatus(version, age, !unreachable, sent, foldedTo);
    }

    /**
     * Tests whether the last call to the log service succeeded.
     *
     * @return false after a failed call
     */
    public synchronized boolean logReachable() {
        return logFailedAtMillis == NEVER;
    }

    /**
     * Tests whether the last report of each given entry says that the entry can reach the log
     * service.
     *
     * @param entries the addresses of the entries, not null
     * @return false if an entry reported otherwise or has not reported
     */
    public synchronized boolean logReachableFromAll(Collection<String> entries) {
        return peersReachingLog.containsAll(entries);
    }

    /**
     * Prepares to append a change. Must be followed by a call of {@link #endWrite}.
     *
     * <p>From now on this process does not report the log service as unreachable. After the append,
     * other processes can therefore rely on an earlier report of this process only until the report
     * exceeds the maximum age of a view.
     */
    public synchronized void beginWrite() {
        writesInProgress++;
    }

    /**
     * Ends the write that {@link #beginWrite} started.
     *
     * <p>If the log may contain a change that this process has not read back, this process reports
     * the log service as unreachable again only after it has read the log.
     *
     * @param unread whether the log may contain the change although this process has not read the
     *     change back
     * @param nowMillis the current time
     */
    public synchronized void endWrite(boolean unread, long nowMillis) {
        writesInProgress--;
        if (unread) {
            unreadWriteAtMillis = nowMillis;
        }
    }

    /**
     * Adopts a version and its confirmation; returns false if the version is older, or is newer and
     * has no document.
     */
    private boolean adoptIfNotOlder(
            long newVersion, ConfigurationDocument newDocument, long newConfirmedAtMillis) {
        if (newVersion < version || (newVersion > version && newDocument == null)) {
            return false;
        }
        if (newVersion > version) {
            version = newVersion;
            document = newDocument;
            confirmedAtMillis = newConfirmedAtMillis;
        } else {
            confirmedAtMillis = Math.max(confirmedAtMillis, newConfirmedAtMillis);
        }
        return true;
    }

    /**
     * Returns the latest time at which all entries were known to be unable to reach the log
     * service: the earliest of their latest reports.
     */
    private long outageAtMillis(Collection<String> entries) {
        // NEVER is lower than every time, so one entry without such a report yields NEVER.
        long earliestMillis = isEntry ? ownLogFailureMillis() : Long.MAX_VALUE;
        for (String address : entries) {
            earliestMillis =
                    Math.min(earliestMillis, logUnreachableAtMillis.getOrDefault(address, NEVER));
        }
        // MAX_VALUE: this process is no entry and knows no entry.
        return earliestMillis == Long.MAX_VALUE ? NEVER : earliestMillis;
    }

    /** Returns the time of the last failed call, or {@code NEVER} while it must not be reported. */
    private long ownLogFailureMillis() {
        return writesInProgress > 0 || unreadWriteAtMillis != NEVER ? NEVER : logFailedAtMillis;
    }
}
