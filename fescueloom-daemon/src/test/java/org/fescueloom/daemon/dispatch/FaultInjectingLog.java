package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/**
 * Gives one entry access to a log that several entries share. The access can be closed for this
 * entry alone, and reads wait for records as the log service does.
 */
class FaultInjectingLog implements KeyedLog {
    /** The interval at which a waiting read looks for new records. */
    private static final long POLL_MILLIS = 20;

    private final KeyedLog log;
    private volatile boolean closed;
    private volatile boolean claimsRefused;

    FaultInjectingLog(KeyedLog log) {
        this.log = log;
    }

    /** Sets whether all calls of this entry are refused. */
    void setClosed(boolean newClosed) {
        closed = newClosed;
    }

    /** Sets whether conditional appends are refused, so that no entry can be the dispatcher. */
    void setClaimsRefused(boolean newClaimsRefused) {
        claimsRefused = newClaimsRefused;
    }

    @Override
    public CompletableFuture<AppendOutcome> append(
            LogPartition partition, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
        return claimsRefused && expectedEnd != ANY_END
                ? refused()
                : unlessClosed(() -> log.append(partition, records, expectedEnd, timeout));
    }

    @Override
    public CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey) {
        return unlessClosed(() -> log.newest(partition, afterKey));
    }

    @Override
    public CompletableFuture<KeyedSlice> read(LogPartition partition, long from, Duration wait) {
        return unlessClosed(() -> log.read(partition, from, Duration.ZERO))
                .thenCompose(
                        slice -> {
                            if (wait.toMillis() <= 0 || !slice.records().isEmpty()) {
                                return CompletableFuture.completedFuture(slice);
                            }
                            return later(
                                    () -> read(partition, from, wait.minusMillis(POLL_MILLIS)));
                        });
    }

    private <T> CompletableFuture<T> unlessClosed(Supplier<CompletableFuture<T>> call) {
        return closed ? refused() : call.get();
    }

    private static <T> CompletableFuture<T> refused() {
        return CompletableFuture.failedFuture(
                new SchedulerException(FailureType.LOG_UNAVAILABLE, "refused by the test"));
    }

    private static <T> CompletableFuture<T> later(Supplier<CompletableFuture<T>> call) {
        Executor delayed = CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(call, delayed).thenCompose(started -> started);
    }
}
