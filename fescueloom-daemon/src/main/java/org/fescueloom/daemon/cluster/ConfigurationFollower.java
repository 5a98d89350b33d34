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
    public static final long REPLAY_WINDOW = 2L * SnapshotKeeper.MAX_UNCOVERED_RECORDS;

    private final StreamFollower<ConfigurationFold> follower;
    private final ConfigurationTracker tracker;
    private final Supplier<? extends Collection<String>> entries;
    private final Metrics metrics;
    private final long[] reported = new long[RecordVerdict.values().length];
    private volatile long inForce = ConfigurationRecord.NO_VERSION;

    /**
     * Creates a follower that does not read yet.
     *
     * @param log reads the log, not null
     * @param executor the one thread that folds, not null
     * @param metrics counts records by verdict, not null
     * @param tracker combines log and peers, not null
     * @param entries gives the addresses of the other live entries, not null
     */
    public ConfigurationFollower(
            LogClient log,
            ScheduledExecutorService executor,
            Metrics metrics,
            ConfigurationTracker tracker,
            Supplier<? extends Collection<String>> entries) {
        this.tracker = Objects.requireNonNull(tracker, "tracker");
        this.entries = Objects.requireNonNull(entries, "entries");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.follower =
                new StreamFollower<>(
                        log,
                        ConfigurationRecord.STREAM,
                        ConfigurationFold::new,
                        REPLAY_WINDOW,
                        executor,
                        metrics,
                        new Listener());
    }

    /** Starts to read the log. */
    public void start() {
        follower.start();
    }

    /**
     * Returns the view now.
     *
     * @return the view, never null
     */
    public ConfigurationView view() {
        return tracker.view(entries.get());
    }

    /**
     * Returns the version in force.
     *
     * @return the version, -1 for none
     */
    public long version() {
        return inForce;
    }

    /**
     * Returns what this process tells a peer.
     *
     * @param peerVersion the version that the peer has already
     * @return the proof, never null
     */
    public ConfigStatus proof(long peerVersion) {
        return tracker.statusForPeer(peerVersion, Clocks.monotonicMillis());
    }

    /**
     * Takes what a peer says.
     *
     * @param peer the address of the peer, not null
     * @param proof what it says, not null
     * @param sentAtMillis when it was asked, in milliseconds of the monotonic clock
     */
    public void heard(String peer, ConfigStatus proof, long sentAtMillis) {
        tracker.recordPeerStatus(peer, proof, sentAtMillis);
        updateInForce("peer");
    }

    /**
     * Waits until a record is folded and returns its verdict.
     *
     * @param offset the offset of the record
     * @param recordId the identifier of the record, not null
     * @return a future of the verdict, empty if the state of the log is not known
     */
    public CompletableFuture<Optional<RecordVerdict>> verdict(long offset, String recordId) {
        return follower.folded(offset)
                .thenCompose(nothing -> follower.query(h -> h.verdict(recordId)));
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
    StreamFollower<ConfigurationFold> stream() {
        return follower;
    }

    /** Stops to read the log. */
    @Override
    public void close() {
        follower.close();
    }

    private synchronized void updateInForce(String source) {
        long version = tracker.view(entries.get()).version();
        if (version > inForce) {
            inForce = version;
            EventLog.event("config-in-force")
                    .field("version", version)
                    .field("source", source)
                    .info();
        }
    }

    private void report(ConfigurationFold history) {
        for (RecordVerdict verdict : RecordVerdict.values()) {
            long total = history.count(verdict);
            long added = total - reported[verdict.ordinal()];
            if (added > 0) {
                metrics.registry().counter("config.records." + verdict.text()).inc(added);
                if (verdict.unreadable()) {
                    EventLog.event("config-record-skipped")
                            .field("verdict", verdict.text())
                            .field("below", history.nextOffset())
                            .warn();
                }
            }
            reported[verdict.ordinal()] = total;
        }
    }

    private final class Listener implements StreamListener<ConfigurationFold> {
        @Override
        public void onRead(ConfigurationFold history, boolean caughtUp, long sentAtMillis) {
            tracker.recordLogReachable();
            if (!history.isComplete()) {
                adoptFromPeers(history);
            }
            report(history);
            if (caughtUp && history.isComplete()) {
                tracker.recordLogRead(
                        history.version(), history.document(), history.nextOffset(), sentAtMillis);
                updateInForce("log");
            }
        }

        @Override
        public void onFailure(long nowMillis) {
            tracker.recordLogUnreachable(nowMillis);
        }

        private void adoptFromPeers(ConfigurationFold history) {
            ConfigStatus known =
                    tracker.statusForPeer(
                            ConfigurationRecord.NO_VERSION - 1, Clocks.monotonicMillis());
            if (known.version() != ConfigurationRecord.NO_VERSION) {
                long at = Math.max(known.foldedTo(), known.version() + 1);
                history.adopt(at, known.version(), known.document());
            }
        }
    }
}
