package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Delays each call to a log: half of the time before it is executed, and half of it after. */
final class SlowKeyedLog implements KeyedLog {
    private final KeyedLog log;
    private final ManualScheduler loop;
    private final long halfMillis;

    SlowKeyedLog(KeyedLog log, ManualScheduler loop, long callMillis) {
        this.log = log;
        this.loop = loop;
        halfMillis = callMillis / 2;
    }

    @Override
    public CompletableFuture<AppendOutcome> append(
            LogPartition partition, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
        return delayed(() -> log.append(partition, records, expectedEnd, timeout));
    }

    @Override
    public CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey) {
        return delayed(() -> log.newest(partition, afterKey));
    }

    @Override
    public CompletableFuture<KeyedSlice> read(LogPartition partition, long from, Duration wait) {
        return delayed(() -> log.read(partition, from, wait));
    }

    private <T> CompletableFuture<T> delayed(Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> delayed = new CompletableFuture<>();
        after(() -> call.get().whenComplete((value, error) -> answer(delayed, value, error)));
        return delayed;
    }

    private <T> void answer(CompletableFuture<T> delayed, T value, Throwable error) {
        after(() -> complete(delayed, value, error));
    }

    private void after(Runnable work) {
        loop.schedule(work, halfMillis, TimeUnit.MILLISECONDS);
    }

    private static <T> void complete(CompletableFuture<T> future, T value, Throwable error) {
        if (error == null) {
            future.complete(value);
        } else {
            future.completeExceptionally(error);
        }
    }
}
