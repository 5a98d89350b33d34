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
 * Appends snapshots of the configuration in force to the log, long before its records expire and so
 * often that a new process has to read only few records.
 *
 * <p>One entry, the responsible one, appends a snapshot when it is due. Every other entry appends
 * one when it is overdue. If the records have expired and the log lacks a complete state, the
 * responsible entry writes the newest state that it knows.
 */
public final class ConfigurationSnapshotWriter {
    /** The number of records since the last snapshot at which the next one is due. */
    public static final long SNAPSHOT_INTERVAL_RECORDS = 64L;

    /** The age of the last snapshot at which the next one is due, in milliseconds. */
    public static final long SNAPSHOT_INTERVAL_MILLIS = TimeUnit.HOURS.toMillis(1);

    /**
     * The time for which the log must lack a complete state before the newest known state is
     * written to the log, in milliseconds.
     */
    public static final long RESTORE_DELAY_MILLIS = TimeUnit.SECONDS.toMillis(30);

    /** The time between two checks whether a snapshot is due. */
    private static final long CHECK_INTERVAL_MILLIS = TimeUnit.SECONDS.toMillis(2);

    /** The number of elapsed intervals at which every entry appends a snapshot. */
    private static final int TAKEOVER_INTERVALS = 2;

    /** The key by which rendezvous hashing selects the responsible entry. */
    private static final String RENDEZVOUS_KEY = "config-snapshot";

    private static final long NEVER = Long.MIN_VALUE;

    private final LogClient logClient;
    private final ConfigurationFollower configurationFollower;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private final String ownAddress;
    private final Supplier<? extends Collection<String>> otherAddresses;

    /** The monotonic time since which the log lacks a complete state. */
    private long incompleteSinceMillis = NEVER;

    private boolean writeInProgress;

    /**
     * Creates a writer; {@link #start} begins the checks.
     *
     * @param logClient appends the snapshots, not null
     * @param follower holds the state, not null
     * @param executor the thread that folds, not null
     * @param metrics counts the snapshots, not null
     * @param ownAddress the address of this entry, not null
     * @param otherAddresses supplies the addresses of the other live entries, not null
     */
    public ConfigurationSnapshotWriter(
            LogClient logClient,
            ConfigurationFollower follower,
            ScheduledExecutorService executor,
            Metrics metrics,
            String ownAddress,
            Supplier<? extends Collection<String>> otherAddresses) {
        this.logClient = Objects.requireNonNull(logClient, "log");
        this.configurationFollower = Objects.requireNonNull(follower, "follower");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.ownAddress = Objects.requireNonNull(ownAddress, "self");
        this.otherAddresses = Objects.requireNonNull(otherAddresses, "others");
    }

    /** Starts to check periodically whether a snapshot is due. */
    public void start() {
        executor.scheduleWithFixedDelay(
                this::checkWhenCaughtUp,
                CHECK_INTERVAL_MILLIS,
                CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void checkWhenCaughtUp() {
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

    /**
     * Appends a snapshot if one is due, or restores a lost state. Does nothing while another write
     * is in progress or the log service cannot be reached. Runs on the thread of the fold.
     */
    private Void writeIfDue(ConfigurationFold fold) {
        if (writeInProgress || !configurationFollower.tracker().logReachable()) {
            return null;
        }
        if (!fold.isComplete()) {
            restoreLostState(fold);
            return null;
        }
        incompleteSinceMillis = NEVER;
        double elapsedIntervals = elapsedIntervals(fold);
        if (elapsedIntervals >= TAKEOVER_INTERVALS || (elapsedIntervals >= 1 && isResponsible())) {
            writeSnapshot(fold.version(), fold.nextOffset(), fold.document());
        }
        return null;
    }

    /**
     * Returns the number of snapshot intervals since the last snapshot, by records or by time,
     * whichever is greater; 0 if there is no configuration.
     */
    private static double elapsedIntervals(ConfigurationFold fold) {
        if (fold.version() == ConfigurationRecord.NO_VERSION) {
            return 0;
        }
        long ageMillis = System.currentTimeMillis() - fold.lastSnapshotMillis();
        double intervalsByRecords =
                (double) fold.recordsSinceSnapshot() / SNAPSHOT_INTERVAL_RECORDS;
        return Math.max(intervalsByRecords, (double) ageMillis / SNAPSHOT_INTERVAL_MILLIS);
    }

    /** Returns whether rendezvous hashing selects this entry among the live ones. */
    private boolean isResponsible() {
        List<String> addresses =
                Stream.concat(Stream.of(ownAddress), otherAddresses.get().stream()).toList();
        return RendezvousHash.top(RENDEZVOUS_KEY, addresses, 1).contains(ownAddress);
    }

    /**
     * Writes the newest known state to the log if the log has lacked a complete state for {@link
     * #RESTORE_DELAY_MILLIS} and this entry is the responsible one.
     */
    private void restoreLostState(ConfigurationFold fold) {
        long nowMillis = Clocks.monotonicMillis();
        if (incompleteSinceMillis == NEVER) {
            incompleteSinceMillis = nowMillis;
        }
        if (nowMillis - incompleteSinceMillis >= RESTORE_DELAY_MILLIS && isResponsible()) {
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
