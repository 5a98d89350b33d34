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
public final class ConfigurationSnapshotWriter {
    /** The number of records after which a snapshot is due. */
    public static final long SNAPSHOT_INTERVAL_RECORDS = 64L;

    /** The age of the last snapshot after which another one is due, in milliseconds. */
    public static final long SNAPSHOT_INTERVAL_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** The time after which a state that the log has lost is written from what is left of it. */
    public static final long RESTORE_DELAY_MILLIS = TimeUnit.SECONDS.toMillis(30);

    private static final long CHECK_INTERVAL_MILLIS = TimeUnit.SECONDS.toMillis(2);
    private static final int TAKEOVER_INTERVALS = 2;
    private static final String RENDEZVOUS_KEY = "config-snapshot";
    private static final long NEVER = Long.MIN_VALUE;

    private final LogClient logClient;
    private final ConfigurationFollower configurationFollower;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private final String ownAddress;
    private final Supplier<? extends Collection<String>> otherAddresses;
    private long incompleteSinceMillis = NEVER;
    private boolean writeInProgress;

    /**
     * Creates a keeper that does nothing yet.
     *
     * @param logClient appends the snapshots, not null
     * @param configurationFollower gives the state, not null
     * @param executor the thread that folds, not null
     * @param metrics counts the snapshots, not null
     * @param ownAddress the address of this entry, not null
     * @param otherAddresses gives the addresses of the other live entries, not null
     */
    public ConfigurationSnapshotWriter(
            LogClient logClient,
            ConfigurationFollower configurationFollower,
            ScheduledExecutorService executor,
            Metrics metrics,
            String ownAddress,
            Supplier<? extends Collection<String>> otherAddresses) {
        this.logClient = Objects.requireNonNull(logClient, "log");
        this.configurationFollower = Objects.requireNonNull(configurationFollower, "follower");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.ownAddress = Objects.requireNonNull(ownAddress, "self");
        this.otherAddresses = Objects.requireNonNull(otherAddresses, "others");
    }

    /** Starts to look whether a snapshot is due. */
    public void start() {
        executor.scheduleWithFixedDelay(
                this::check, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        configurationFollower
                .streamFollower()
                .whenCaughtUp()
                .thenRunAsync(
                        () ->
                                configurationFollower
                                        .streamFollower()
                                        .query(this::writeIfDue)
                                        .exceptionally(e -> null),
                        executor);
    }

    private Void writeIfDue(ConfigurationFold fold) {
        if (writeInProgress || !configurationFollower.tracker().logReachable()) {
            return null;
        }
        if (!fold.isComplete()) {
            restoreIfLost(fold);
            return null;
        }
        incompleteSinceMillis = NEVER;
        double elapsedIntervals = elapsedIntervals(fold);
        if (elapsedIntervals >= TAKEOVER_INTERVALS || (elapsedIntervals >= 1 && isResponsible())) {
            writeSnapshot(fold.version(), fold.nextOffset(), fold.document());
        }
        return null;
    }

    /** Returns how many times the interval between snapshots has passed. */
    private static double elapsedIntervals(ConfigurationFold fold) {
        if (fold.version() == ConfigurationRecord.NO_VERSION) {
            return 0;
        }
        long ageMillis = System.currentTimeMillis() - fold.lastSnapshotMillis();
        double byRecords = (double) fold.recordsSinceSnapshot() / SNAPSHOT_INTERVAL_RECORDS;
        return Math.max(byRecords, (double) ageMillis / SNAPSHOT_INTERVAL_MILLIS);
    }

    private boolean isResponsible() {
        List<String> addresses =
                Stream.concat(Stream.of(ownAddress), otherAddresses.get().stream()).toList();
        return RendezvousHash.top(RENDEZVOUS_KEY, addresses, 1).contains(ownAddress);
    }

    /** Restores the state from what the peers have, after all its records expired unread. */
    private void restoreIfLost(ConfigurationFold fold) {
        long now = Clocks.monotonicMillis();
        if (incompleteSinceMillis == NEVER) {
            incompleteSinceMillis = now;
        }
        if (now - incompleteSinceMillis >= RESTORE_DELAY_MILLIS && isResponsible()) {
            ConfigurationView view = configurationFollower.view();
            EventLog.event("config-restored").field("version", view.version()).warn();
            writeSnapshot(view.version(), fold.nextOffset(), view.document());
        }
    }

    private void writeSnapshot(long version, long foldedTo, ConfigurationDocument document) {
        writeInProgress = true;
        metrics.count("config.snapshots");
        logClient
                .append(
                        ConfigurationRecord.STREAM,
                        ConfigurationRecord.snapshot(version, foldedTo, document, ownAddress)
                                .payload())
                .whenCompleteAsync((offset, error) -> writeInProgress = false, executor);
    }
}
