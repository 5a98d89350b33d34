package org.fescueloom.daemon.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationFold;
import org.fescueloom.config.ConfigurationRecord;
import org.fescueloom.config.ConfigurationView;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.member.RendezvousHash;

/**
 * Writes the configuration in force to the log again, well before its records expire and often
 * enough that a fresh process reads few records.
 *
 * <p>One of the entries does so; the others take over when it is late.
 */
public final class SnapshotKeeper {
    /** The number of records after which a snapshot is due. */
    public static final long MAX_UNCOVERED_RECORDS = 64L;

    /** The age of the last snapshot after which another one is due, in milliseconds. */
    public static final long MAX_AGE_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** The time after which a state that the log has lost is written from what is left of it. */
    public static final long LOST_STATE_MILLIS = TimeUnit.SECONDS.toMillis(30);

    private static final long CHECK_MILLIS = TimeUnit.SECONDS.toMillis(2);
    private static final int LATE_FACTOR = 2;
    private static final String KEY = "config-snapshot";
    private static final long NEVER = Long.MIN_VALUE;

    private final LogClient log;
    private final ConfigurationFollower follower;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private final String self;
    private final Supplier<? extends Collection<String>> others;
    private long incompleteSinceMillis = NEVER;
    private boolean writing;

    /**
     * Creates a keeper that does nothing yet.
     *
     * @param log appends the snapshots, not null
     * @param follower gives the state, not null
     * @param executor the thread that folds, not null
     * @param metrics counts the snapshots, not null
     * @param self the address of this entry, not null
     * @param others gives the addresses of the other live entries, not null
     */
    public SnapshotKeeper(
            LogClient log,
            ConfigurationFollower follower,
            ScheduledExecutorService executor,
            Metrics metrics,
            String self,
            Supplier<? extends Collection<String>> others) {
        this.log = Objects.requireNonNull(log, "log");
        this.follower = Objects.requireNonNull(follower, "follower");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.self = Objects.requireNonNull(self, "self");
        this.others = Objects.requireNonNull(others, "others");
    }

    /** Starts to look whether a snapshot is due. */
    public void start() {
        executor.scheduleWithFixedDelay(
                this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        follower.stream()
                .caughtUp()
                .thenRunAsync(
                        () -> follower.stream().query(this::inspect).exceptionally(e -> null),
                        executor);
    }

    private Void inspect(ConfigurationFold history) {
        if (writing || !follower.tracker().logReachable()) {
            return null;
        }
        if (!history.isComplete()) {
            recover(history);
            return null;
        }
        incompleteSinceMillis = NEVER;
        double lateness = lateness(history);
        if (lateness >= LATE_FACTOR || (lateness >= 1 && isChosen())) {
            write(history.version(), history.nextOffset(), history.document());
        }
        return null;
    }

    /** Returns how many times the interval between snapshots has passed. */
    private static double lateness(ConfigurationFold history) {
        if (history.version() == ConfigurationRecord.NO_VERSION) {
            return 0;
        }
        long age = System.currentTimeMillis() - history.lastSnapshotMillis();
        double byRecords = (double) history.recordsSinceSnapshot() / MAX_UNCOVERED_RECORDS;
        return Math.max(byRecords, (double) age / MAX_AGE_MILLIS);
    }

    private boolean isChosen() {
        List<String> all = Stream.concat(Stream.of(self), others.get().stream()).toList();
        return RendezvousHash.top(KEY, all, 1).contains(self);
    }

    /** Restores the state from what the peers have, after all its records expired unread. */
    private void recover(ConfigurationFold history) {
        long now = Clocks.monotonicMillis();
        if (incompleteSinceMillis == NEVER) {
            incompleteSinceMillis = now;
        }
        if (now - incompleteSinceMillis >= LOST_STATE_MILLIS && isChosen()) {
            ConfigurationView view = follower.view();
            EventLog.event("config-restored").field("version", view.version()).warn();
            write(view.version(), history.nextOffset(), view.document());
        }
    }

    private void write(long version, long at, ConfigurationDocument document) {
        writing = true;
        metrics.count("config.snapshots");
        log.append(
                        ConfigurationRecord.STREAM,
                        ConfigurationRecord.snapshot(version, at, document, self).payload())
                .whenCompleteAsync((offset, error) -> writing = false, executor);
    }
}
