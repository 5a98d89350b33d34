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
 * Keeps the newest configuration that the log or any peer has, with the age of its proof.
 *
 * <p>The version that is in force never falls. Can be used by many threads.
 */
public final class ConfigurationFollower implements AutoCloseable {
    /** How many records before the end the replay starts. */
    public static final long REPLAY_WINDOW_RECORDS =
            2L * ConfigurationSnapshotWriter.SNAPSHOT_INTERVAL_RECORDS;

    private final StreamFollower<ConfigurationFold> streamFollower;
    private final ConfigurationTracker tracker;
    private final Supplier<? extends Collection<String>> otherEntries;
    private final Metrics metrics;
    private final long[] reportedCounts = new long[RecordVerdict.values().length];
    private volatile long versionInForce = ConfigurationRecord.NO_VERSION;

    /**
     * Creates a follower that does not read yet.
     *
     * @param log reads the log, not null
     * @param executor the one thread that folds, not null
     * @param metrics counts records by verdict, not null
     * @param tracker combines log and peers, not null
     * @param otherEntries gives the addresses of the other live entries, not null
     */
    public ConfigurationFollower(
            LogClient logClient,
            ScheduledExecutorService executor,
            Metrics metrics,
            ConfigurationTracker tracker,
            Supplier<? extends Collection<String>> otherEntries) {
        this.tracker = Objects.requireNonNull(tracker, "tracker");
        this.otherEntries = Objects.requireNonNull(otherEntries, "entries");
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

    /** Starts to read the log. */
    public void start() {
        streamFollower.start();
    }

    /**
     * Returns the view now.
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
     * Returns what this process tells a peer.
     *
     * @param peerVersion the version that the peer has already
     * @return the proof, never null
     */
    public ConfigStatus statusForPeer(long peerVersion) {
        return tracker.statusForPeer(peerVersion, Clocks.monotonicMillis());
    }

    /**
     * Takes what a peer says.
     *
     * @param peer the address of the peer, not null
     * @param statusForPeer what it says, not null
     * @param sentAtMillis when it was asked, in milliseconds of the monotonic clock
     */
    public void recordPeerStatus(String peerAddress, ConfigStatus status, long sentAtMillis) {
        tracker.recordPeerStatus(peerAddress, status, sentAtMillis);
        updateVersionInForce("peer");
    }

    /**
     * Waits until a record is folded and returns its verdict.
     *
     * @param offset the offset of the record
     * @param recordId the identifier of the record, not null
     * @return a future of the verdict, empty if the state of the log is not known
     */
    public CompletableFuture<Optional<RecordVerdict>> verdict(long offset, String recordId) {
        return streamFollower
                .whenFolded(offset)
                .thenCompose(nothing -> streamFollower.query(fold -> fold.verdict(recordId)));
    }

    /**
     * Returns the tracker, for those that append changes.
     *
     * @return the tracker, never null
     */
    ConfigurationTracker tracker() {
        return tracker;
    }

    /**
     * Returns the follower of the stream.
     *
     * @return the follower, never null
     */
    StreamFollower<ConfigurationFold> streamFollower() {
        return streamFollower;
    }

    /** Stops to read the log. */
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
                adoptFromPeers(fold);
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

        private void adoptFromPeers(ConfigurationFold fold) {
            ConfigStatus latestKnown =
                    tracker.statusForPeer(
                            ConfigurationRecord.NO_VERSION - 1, Clocks.monotonicMillis());
            if (latestKnown.version() != ConfigurationRecord.NO_VERSION) {
                long offset = Math.max(latestKnown.foldedTo(), latestKnown.version() + 1);
                fold.adopt(offset, latestKnown.version(), latestKnown.document());
            }
        }
    }
}
