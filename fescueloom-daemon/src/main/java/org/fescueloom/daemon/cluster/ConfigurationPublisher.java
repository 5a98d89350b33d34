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

/** Appends changes of the configuration and tells what became of them. */
public final class ConfigurationPublisher {
    private static final long VERDICT_TIMEOUT_SECONDS = 5L;
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
     * @param configurationFollower reads them back, not null
     * @param executor runs the waits, not null
     * @param memberId the identifier of this process, not null
     * @param remainingStartupWaitMillis gives how long this process still has to wait until every
     *     other one counts it among the entries, not null
     */
    public ConfigurationPublisher(
            LogClient logClient,
            ConfigurationFollower configurationFollower,
            ScheduledExecutorService executor,
            String memberId,
            LongSupplier remainingStartupWaitMillis) {
        this.logClient = Objects.requireNonNull(logClient, "log");
        this.configurationFollower = Objects.requireNonNull(configurationFollower, "follower");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.memberId = Objects.requireNonNull(memberId, "member");
        this.remainingStartupWaitMillis =
                Objects.requireNonNull(remainingStartupWaitMillis, "startupWaitMillis");
    }

    /**
     * Replaces the configuration if a version is still the current one.
     *
     * <p>The log is asked first whether it can be reached; if not, nothing is changed, and the
     * processes go on to rely on the outage.
     *
     * @param base the version that is replaced; -1 for none
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
                                            "the log cannot be reached",
                                            TimeUnit.SECONDS.toMillis(1),
                                            error));
                        })
                .thenCompose(f -> f);
    }

    private CompletableFuture<Long> appendAfterStartupWait(
            long baseVersion, ConfigurationDocument document) {
        configurationFollower.tracker().beginWrite();
        long delayMillis = remainingStartupWaitMillis.getAsLong();
        if (delayMillis > 0) {
            EventLog.event("config-append-delayed").field("millis", delayMillis).info();
        }
        return CompletableFuture.runAsync(() -> {}, delayedExecutor(delayMillis))
                .thenCompose(nothing -> appendChange(baseVersion, document))
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
                                        "the log took the change, but cannot be read");
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

    /** Tells whether the log may have the change although this process has not read it. */
    private boolean mayBeUnread(Long version, Throwable error) {
        if (error == null) {
            return configurationFollower.version() < version;
        }
        FailureType type = Failures.typeOf(error);
        return type != FailureType.LOG_UNAVAILABLE && type != FailureType.VERSION_CONFLICT;
    }

    private Executor delayedExecutor(long millis) {
        return task -> executor.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private static SchedulerException conflict(long baseVersion) {
        return new SchedulerException(
                FailureType.VERSION_CONFLICT,
                "version " + baseVersion + " is no longer the current one");
    }
}
