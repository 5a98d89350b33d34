package org.fescueloom.daemon.cluster;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.fescueloom.config.ConfigurationFold;
import org.fescueloom.config.ConfigurationRecord;
import org.fescueloom.config.ConfigurationTracker;
import org.fescueloom.config.ConfigurationView;
import org.fescueloom.config.RecordVerdict;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.wire.ConfigStatus;

/**
 * Keeps the newest version of the configuration that this process has read from the log service or
 * that a peer, another entry, has reported. The follower also keeps the time at which the log
 * service last confirmed that no newer version exists.
 *
 * <p>This newest version is the version in force; it never decreases. Safe for use by several
 * threads.
 */
public final class ConfigurationFollower implements AutoCloseable {
    /**
     * The number of records before the end of the stream at which a new follower starts to read:
     * two snapshot intervals, after which every entry writes an overdue snapshot.
     */
    public static final long REPLAY_WINDOW_RECORDS =
            2L * ConfigurationSnapshotWriter.SNAPSHOT_INTERVAL_RECORDS;

    private final StreamFollower<ConfigurationFold> streamFollower;
    private final ConfigurationTracker tracker;
    private final Supplier<? extends Collection<String>> otherEntries;
    private final Metrics metrics;

    /** The number of records already added to the counters, by the ordinal of the verdict. */
    private final long[] reportedCounts = new long[RecordVerdict.values().length];

    /** The newest version so far; updated after each read and each status of a peer. */
    private volatile long versionInForce = ConfigurationRecord.NO_VERSION;

    /**
     * Creates a follower; {@link #start} begins the reads.
     *
     * @param logClient reads the log, not null
     * @param executor the single thread that folds, not null
     * @param metrics counts records by verdict, not null
     * @param tracker combines the reports of the log and the peers, not null
     * @param entries supplies the addresses of the other live entries, not null
     */
    public ConfigurationFollower(
            LogClient logClient,
            ScheduledExecutorService executor,
            Metrics metrics,
            ConfigurationTracker tracker,
            Supplier<? extends Collection<String>> entries) {
        this.tracker = Objects.requireNonNull(tracker, "tracker");
        this.otherEntries = Objects.requireNonNull(entries, "entries");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.streamFollower =
                new StreamFollower<>(
                        logClient,
                        ConfigurationRecord.STREAM,
                        ConfigurationFold::new,
                        REPLAY_WINDOW_RECORDS,
                        executor,
                        metrics,
                        new FoldListener());
    }

    /** Starts reading the log. */
    public void start() {
        streamFollower.start();
    }

    /**
     * Returns the current view of the configuration, which contains the version in force.
     *
     * @return the view, never null
     */
    public ConfigurationView view() {
        return tracker.view(otherEntries.get());
    }

    /**
     * Returns the version in force.
     *
     * @return the version, -1 for none
     */
    public long version() {
        return versionInForce;
    }

    /**
     * Returns the configuration status that this process sends to a peer.
     *
     * @param peerVersion the version that the peer has already
     * @return the status, never null
     */
    public ConfigStatus statusForPeer(long peerVersion) {
        return tracker.statusForPeer(peerVersion, Clocks.monotonicMillis());
    }

    /**
     * Records the configuration status that a peer has reported.
     *
     * @param peerAddress the address of the peer, not null
     * @param status the status, not null
     * @param sentAtMillis the time at which the request to the peer was sent, in milliseconds of
     *     the monotonic clock
     */
    public void recordPeerStatus(String peerAddress, ConfigStatus status, long sentAtMillis) {
        tracker.recordPeerStatus(peerAddress, status, sentAtMillis);
        updateVersionInForce("peer");
    }

    /**
     * Returns the verdict on a record, such as accepted or conflict, once the record is folded.
     *
     * @param offset the offset of the record
     * @param recordId the identifier of the record, not null
     * @return a future of the verdict; empty if the fold lacks earlier records or no longer keeps
     *     the verdict
     */
    public CompletableFuture<Optional<RecordVerdict>> verdict(long offset, String recordId) {
        return streamFollower
                .whenFolded(offset)
                .thenCompose(ignored -> streamFollower.query(fold -> fold.verdict(recordId)));
    }

    /**
     * Returns the tracker that combines the reports of the log and the peers.
     *
     * @return the tracker, never null
     */
    ConfigurationTracker tracker() {
        return tracker;
    }

    /**
     * Returns the follower of the configuration stream.
     *
     * @return the follower, never null
     */
    StreamFollower<ConfigurationFold> streamFollower() {
        return streamFollower;
    }

    /** Stops reading the log. */
    @Override
    public void close() {
        streamFollower.close();
    }

    private synchronized void updateVersionInForce(String source) {
        long version = tracker.view(otherEntries.get()).version();
        if (version > versionInForce) {
            versionInForce = version;
            EventLog.event("config-in-force")
                    .field("version", version)
                    .field("source", source)
                    .info();
        }
    }

    /**
     * Adds the numbers of records folded since the last call to the counters, and logs an event for
     * each kind of unreadable record among them.
     */
    private void reportVerdictCounts(ConfigurationFold fold) {
        for (RecordVerdict verdict : RecordVerdict.values()) {
            long total = fold.count(verdict);
            long added = total - reportedCounts[verdict.ordinal()];
            if (added > 0) {
                metrics.registry().counter("config.records." + verdict.text()).inc(added);
                if (verdict.unreadable()) {
                    EventLog.event("config-record-skipped")
                            .field("verdict", verdict.text())
                            .field("below", fold.nextOffset())
                            .warn();
                }
            }
            reportedCounts[verdict.ordinal()] = total;
        }
    }

    private final class FoldListener implements StreamListener<ConfigurationFold> {
        @Override
        public void onRead(ConfigurationFold fold, boolean caughtUp, long sentAtMillis) {
            tracker.recordLogReachable();
            if (!fold.isComplete()) {
                offerLatestState(fold);
            }
            reportVerdictCounts(fold);
            if (caughtUp && fold.isComplete()) {
                tracker.recordLogRead(
                        fold.version(), fold.document(), fold.nextOffset(), sentAtMillis);
                updateVersionInForce("log");
            }
        }

        @Override
        public void onReadFailed(long nowMillis) {
            tracker.recordLogUnreachable(nowMillis);
        }

        /**
         * Offers the newest state that this process knows to a fold that lacks records. The fold
         * adopts the state if the state includes the missed records.
         */
        private void offerLatestState(ConfigurationFold fold) {
            // The status includes the document because the version passed here never exists.
            ConfigStatus latestKnown =
                    tracker.statusForPeer(
                            ConfigurationRecord.NO_VERSION - 1, Clocks.monotonicMillis());
            if (latestKnown.version() != ConfigurationRecord.NO_VERSION) {
                // The version is the offset of a change that the state includes. The field foldedTo
                // can be lower, since it is -1 if the state was not read from the log.
                long offset = Math.max(latestKnown.foldedTo(), latestKnown.version() + 1);
                fold.adopt(offset, latestKnown.version(), latestKnown.document());
            }
        }
    }
}
