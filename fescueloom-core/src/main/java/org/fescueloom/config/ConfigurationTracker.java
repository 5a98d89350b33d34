package org.fescueloom.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fescueloom.wire.ConfigStatus;

/**
 * Combines what the log and the peers say into one view of the configuration. Can be used by many
 * threads.
 *
 * <p>The newest version wins and is never given up for an older one. A proof counts from the time
 * at which the question was sent, so it is never taken for younger than it is. The log counts as
 * down while every known entry says that it cannot reach it.
 *
 * <p>An entry that is about to append a change must not be one of those: {@link #beginWrite} stops
 * it from saying so. Times are in milliseconds of the monotonic clock.
 */
public final class ConfigurationTracker {
    private static final long NEVER = ConfigurationView.NEVER;

    private final boolean entry;
    private final Map<String, Long> unreachableAt = new HashMap<>();
    private final Set<String> reachable = new HashSet<>();
    private long version = ConfigurationRecord.NO_VERSION;
    private ConfigurationDocument document = ConfigurationDocument.EMPTY;
    private long provenAtMillis = NEVER;
    private long foldedTo = ConfigStatus.NOT_FOLDED;
    private long logFailedAtMillis = NEVER;
    private long unreadWriteAtMillis = NEVER;
    private int writes;

    /**
     * Creates a tracker that knows nothing.
     *
     * @param entry whether the process is an entry and can itself append changes
     */
    public ConfigurationTracker(boolean entry) {
        this.entry = entry;
    }

    /**
     * Takes a state that was read from the end of the log.
     *
     * @param readVersion the version in force
     * @param readDocument the document of this version, not null
     * @param offset the offset below which every record was folded
     * @param sentAtMillis when the read was sent
     */
    public synchronized void recordLogRead(
            long readVersion, ConfigurationDocument readDocument, long offset, long sentAtMillis) {
        logFailedAtMillis = NEVER;
        if (sentAtMillis >= unreadWriteAtMillis) {
            unreadWriteAtMillis = NEVER;
        }
        if (take(readVersion, readDocument, sentAtMillis)) {
            foldedTo = Math.max(foldedTo, offset);
        }
    }

    /**
     * Learns that the log answered, although its end was not reached or its records have expired.
     */
    public synchronized void recordLogReachable() {
        logFailedAtMillis = NEVER;
    }

    /**
     * Learns that the log did not answer.
     *
     * @param nowMillis the time now
     */
    public synchronized void recordLogUnreachable(long nowMillis) {
        logFailedAtMillis = nowMillis;
    }

    /**
     * Takes what another process says.
     *
     * @param peer the address of the process, not null
     * @param statusForPeer what it says, not null
     * @param sentAtMillis when it was asked
     */
    public synchronized void recordPeerStatus(String peer, ConfigStatus proof, long sentAtMillis) {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(proof, "proof");
        if (proof.logReachable()) {
            unreachableAt.remove(peer);
            reachable.add(peer);
        } else {
            unreachableAt.merge(peer, sentAtMillis, Math::max);
            reachable.remove(peer);
        }
        long proven =
                proof.ageMillis() == Long.MAX_VALUE ? NEVER : sentAtMillis - proof.ageMillis();
        if (take(proof.version(), proof.document(), proven)) {
            foldedTo = Math.max(foldedTo, proof.foldedTo());
        }
    }

    /**
     * Returns the view now.
     *
     * @param entries the addresses of the other entries that are known to live, not null
     * @return the view, never null
     */
    public synchronized ConfigurationView view(Collection<String> entries) {
        return new ConfigurationView(version, document, provenAtMillis, outageAt(entries));
    }

    /**
     * Returns what this process tells its peers.
     *
     * @param peerVersion the version that the peer has already
     * @param nowMillis the time now
     * @return the proof, never null
     */
    public synchronized ConfigStatus statusForPeer(long peerVersion, long nowMillis) {
        boolean unreachable = ownFailure() != NEVER;
        long age = provenAtMillis == NEVER ? Long.MAX_VALUE : nowMillis - provenAtMillis;
        ConfigurationDocument sent = peerVersion == version ? null : document;
        return new ConfigStatus(version, age, !unreachable, sent, foldedTo);
    }

    /**
     * Tells whether the last read of the log succeeded.
     *
     * @return false after a failed read
     */
    public synchronized boolean logReachable() {
        return logFailedAtMillis == NEVER;
    }

    /**
     * Tells whether every one of some entries has last said that it reaches the log.
     *
     * @param entries the addresses of the entries, not null
     * @return false if one of them said otherwise or was not heard
     */
    public synchronized boolean logReachableFromAll(Collection<String> entries) {
        return reachable.containsAll(entries);
    }

    /**
     * Prepares to append a change; to be followed by {@link #endWrite}.
     *
     * <p>From now on this process does not say that it cannot reach the log, so that nobody relies
     * on that for longer than the greatest age of a proof after the append.
     */
    public synchronized void beginWrite() {
        writes++;
    }

    /**
     * Ends what {@link #beginWrite} began.
     *
     * <p>After a change that it has not read back, this process says again that it cannot reach the
     * log only when it has read the log since.
     *
     * @param unread whether the log may have the change although this process has not read it
     * @param nowMillis the time now
     */
    public synchronized void endWrite(boolean unread, long nowMillis) {
        writes--;
        if (unread) {
            unreadWriteAtMillis = nowMillis;
        }
    }

    private boolean take(long newVersion, ConfigurationDocument newDocument, long provenAt) {
        if (newVersion < version || (newVersion > version && newDocument == null)) {
            return false;
        }
        if (newVersion > version) {
            version = newVersion;
            document = newDocument;
            provenAtMillis = provenAt;
        } else {
            provenAtMillis = Math.max(provenAtMillis, provenAt);
        }
        return true;
    }

    private long outageAt(Collection<String> entries) {
        long oldest = entry ? ownFailure() : Long.MAX_VALUE;
        for (String address : entries) {
            oldest = Math.min(oldest, unreachableAt.getOrDefault(address, NEVER));
        }
        return oldest == Long.MAX_VALUE ? NEVER : oldest;
    }

    private long ownFailure() {
        return writes > 0 || unreadWriteAtMillis != NEVER ? NEVER : logFailedAtMillis;
    }
}
