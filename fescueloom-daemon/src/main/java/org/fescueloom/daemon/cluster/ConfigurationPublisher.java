package org.fescueloom.daemon.cluster;

import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationRecord;
import org.fescueloom.config.RecordVerdict;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.NewRecord;

/** Appends changes of the configuration and reports whether they have taken effect. */
public final class ConfigurationPublisher {
    /** The time within which an appended change has to be read back. */
    private static final long VERDICT_TIMEOUT_SECONDS = 5L;

    /** The number of attempts to reach the log service before a change fails. */
    private static final int MAX_PROBE_ATTEMPTS = 2;

    private final LogClient logClient;
    private final ConfigurationFollower configurationFollower;
    private final ScheduledExecutorService executor;
    private final String memberId;
    private final LongSupplier remainingStartupWaitMillis;

    /**
     * Creates a publisher.
     *
     * @param logClient appends the changes, not null
     * @param follower reads the changes back, not null
     * @param executor runs delayed appends, not null
     * @param memberId the member ID of this process, not null
     * @param startupWaitMillis supplies the time until every other process knows this entry, in
     *     milliseconds, not null
     */
    public ConfigurationPublisher(
            LogClient logClient,
            ConfigurationFollower follower,
            ScheduledExecutorService executor,
            String memberId,
            LongSupplier startupWaitMillis) {
        this.logClient = Objects.requireNonNull(logClient, "log");
        this.configurationFollower = Objects.requireNonNull(follower, "follower");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.memberId = Objects.requireNonNull(memberId, "member");
        this.remainingStartupWaitMillis =
                Objects.requireNonNull(startupWaitMillis, "startupWaitMillis");
    }

    /**
     * Replaces the configuration if a version is still current.
     *
     * <p>From the append on, this process no longer reports an outage of the log, and other
     * processes can no longer rely on the outage. The publisher therefore checks first that it can
     * reach the log service, and changes nothing if it cannot.
     *
     * @param baseVersion the version to replace; -1 for none
     * @param document the new document, not null
     * @return a future of the new version; fails with {@code VERSION_CONFLICT}, {@code
     *     LOG_UNAVAILABLE} or {@code LOG_UNDECIDED}
     */
    public CompletableFuture<Long> publish(long baseVersion, ConfigurationDocument document) {
        Objects.requireNonNull(document, "document");
        if (baseVersion < configurationFollower.version()) {
            return CompletableFuture.failedFuture(conflict(baseVersion));
        }
        return probeLog(MAX_PROBE_ATTEMPTS)
                .thenCompose(page -> appendAfterStartupWait(baseVersion, document));
    }

    private CompletableFuture<LogPage> probeLog(int attemptsLeft) {
        return logClient
                .readBounds(ConfigurationRecord.STREAM)
                .handle(
                        (page, error) -> {
                            if (error == null) {
                                return CompletableFuture.completedFuture(page);
                            }
                            if (attemptsLeft > 1) {
                                return probeLog(attemptsLeft - 1);
                            }
                            return CompletableFuture.<LogPage>failedFuture(
                                    new SchedulerException(
                                            FailureType.LOG_UNAVAILABLE,
                                            "cannot reach the log service",
                                            TimeUnit.SECONDS.toMillis(1),
                                            error));
                        })
                .thenCompose(future -> future);
    }

    private CompletableFuture<Long> appendAfterStartupWait(
            long baseVersion, ConfigurationDocument document) {
        configurationFollower.tracker().beginWrite();
        long delayMillis = remainingStartupWaitMillis.getAsLong();
        if (delayMillis > 0) {
            EventLog.event("config-append-delayed").field("millis", delayMillis).info();
        }
        return CompletableFuture.runAsync(() -> {}, delayedExecutor(delayMillis))
                .thenCompose(ignored -> appendChange(baseVersion, document))
                .whenComplete(
                        (version, error) ->
                                configurationFollower
                                        .tracker()
                                        .endWrite(
                                                mayBeUnread(version, error),
                                                Clocks.monotonicMillis()));
    }

    private CompletableFuture<Long> appendChange(long baseVersion, ConfigurationDocument document) {
        String recordId = UUID.randomUUID().toString();
        NewRecord record =
                new NewRecord(
                        recordId,
                        ConfigurationRecord.change(baseVersion, document, memberId).payload());
        return logClient
                .append(ConfigurationRecord.STREAM, record)
                .thenCompose(offset -> awaitVerdict(baseVersion, offset, recordId));
    }

    private CompletableFuture<Long> awaitVerdict(long baseVersion, long offset, String recordId) {
        return configurationFollower
                .verdict(offset, recordId)
                .completeOnTimeout(Optional.empty(), VERDICT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .thenApply(
                        verdict -> {
                            if (verdict.isEmpty()) {
                                throw new SchedulerException(
                                        FailureType.LOG_UNDECIDED,
                                        "the log service stored the change, but it is unknown"
                                                + " whether the change took effect");
                            }
                            if (verdict.get() != RecordVerdict.ACCEPTED) {
                                throw conflict(baseVersion);
                            }
                            EventLog.event("config-published")
                                    .field("version", offset)
                                    .field("base", baseVersion)
                                    .info();
                            return offset;
                        });
    }

    /** Returns whether the log may hold the change although this process has not read it. */
    private boolean mayBeUnread(Long version, Throwable error) {
        if (error == null) {
            return configurationFollower.version() < version;
        }
        FailureType type = Failures.typeOf(error);
        // LOG_UNAVAILABLE: the log has no change. VERSION_CONFLICT: this process has read the
        // change.
        return type != FailureType.LOG_UNAVAILABLE && type != FailureType.VERSION_CONFLICT;
    }

    private Executor delayedExecutor(long delayMillis) {
        return task -> executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static SchedulerException conflict(long baseVersion) {
        return new SchedulerException(
                FailureType.VERSION_CONFLICT, "version " + baseVersion + " is no longer current");
    }
}
