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
    private static final long VERDICT_SECONDS = 5L;
    private static final int PROBES = 2;

    private final LogClient log;
    private final ConfigurationFollower follower;
    private final ScheduledExecutorService executor;
    private final String member;
    private final LongSupplier startupWaitMillis;

    /**
     * Creates a publisher.
     *
     * @param log appends the changes, not null
     * @param follower reads them back, not null
     * @param executor runs the waits, not null
     * @param member the identifier of this process, not null
     * @param startupWaitMillis gives how long this process still has to wait until every other one
     *     counts it among the entries, not null
     */
    public ConfigurationPublisher(
            LogClient log,
            ConfigurationFollower follower,
            ScheduledExecutorService executor,
            String member,
            LongSupplier startupWaitMillis) {
        this.log = Objects.requireNonNull(log, "log");
        this.follower = Objects.requireNonNull(follower, "follower");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.member = Objects.requireNonNull(member, "member");
        this.startupWaitMillis = Objects.requireNonNull(startupWaitMillis, "startupWaitMillis");
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
    public CompletableFuture<Long> publish(long base, ConfigurationDocument document) {
        Objects.requireNonNull(document, "document");
        if (base < follower.version()) {
            return CompletableFuture.failedFuture(conflict(base));
        }
        return probe(PROBES).thenCompose(page -> write(base, document));
    }

    private CompletableFuture<LogPage> probe(int left) {
        return log.describe(ConfigurationRecord.STREAM)
                .handle(
                        (page, error) -> {
                            if (error == null) {
                                return CompletableFuture.completedFuture(page);
                            }
                            if (left > 1) {
                                return probe(left - 1);
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

    private CompletableFuture<Long> write(long base, ConfigurationDocument document) {
        follower.tracker().beginWrite();
        long delay = startupWaitMillis.getAsLong();
        if (delay > 0) {
            EventLog.event("config-append-delayed").field("millis", delay).info();
        }
        return CompletableFuture.runAsync(() -> {}, delayed(delay))
                .thenCompose(nothing -> append(base, document))
                .whenComplete(
                        (version, error) ->
                                follower.tracker()
                                        .endWrite(
                                                isUnread(version, error),
                                                Clocks.monotonicMillis()));
    }

    private CompletableFuture<Long> append(long base, ConfigurationDocument document) {
        String id = UUID.randomUUID().toString();
        NewRecord record =
                new NewRecord(id, ConfigurationRecord.change(base, document, member).payload());
        return log.append(ConfigurationRecord.STREAM, record)
                .thenCompose(offset -> decide(base, offset, id));
    }

    private CompletableFuture<Long> decide(long base, long offset, String id) {
        return follower.verdict(offset, id)
                .completeOnTimeout(Optional.empty(), VERDICT_SECONDS, TimeUnit.SECONDS)
                .thenApply(
                        verdict -> {
                            if (verdict.isEmpty()) {
                                throw new SchedulerException(
                                        FailureType.LOG_UNDECIDED,
                                        "the log took the change, but cannot be read");
                            }
                            if (verdict.get() != RecordVerdict.ACCEPTED) {
                                throw conflict(base);
                            }
                            EventLog.event("config-published")
                                    .field("version", offset)
                                    .field("base", base)
                                    .info();
                            return offset;
                        });
    }

    /** Tells whether the log may have the change although this process has not read it. */
    private boolean isUnread(Long version, Throwable error) {
        if (error == null) {
            return follower.version() < version;
        }
        FailureType type = Failures.typeOf(error);
        return type != FailureType.LOG_UNAVAILABLE && type != FailureType.VERSION_CONFLICT;
    }

    private Executor delayed(long millis) {
        return task -> executor.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private static SchedulerException conflict(long base) {
        return new SchedulerException(
                FailureType.VERSION_CONFLICT, "version " + base + " is no longer the current one");
    }
}
