package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueloom.json.Json;

/** Tells other entries where this one is reached, and learns where they are. */
final class EntryDirectory {
    /** The log in which entries tell where they are reached. */
    static final String TOPIC = "keyed.entries";

    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(800);
    private static final long RETRY_SECONDS = 1;

    private final KeyedLog log;
    private final KeyedRecord mine;
    private final ScheduledExecutorService loop;
    private final Consumer<List<String>> found;
    private boolean registered;

    /**
     * Creates a directory that has read nothing.
     *
     * @param log the log service
     * @param address where this entry is reached
     * @param process names this life of the entry
     * @param loop the thread of the owner
     * @param found takes the addresses that were read, on the thread of the owner
     */
    EntryDirectory(
            KeyedLog log,
            String address,
            String process,
            ScheduledExecutorService loop,
            Consumer<List<String>> found) {
        this.log = log;
        this.mine = new KeyedRecord(address, Json.write(Map.of("process", process)));
        this.loop = loop;
        this.found = found;
    }

    /** Reads the addresses and registers this one; tries again until both have succeeded. */
    void start() {
        log.newest(TOPIC, "")
                .thenCompose(
                        page -> {
                            List<String> read =
                                    page.records().stream().map(KeyedRecord::key).toList();
                            loop.execute(() -> found.accept(read));
                            return registered
                                    ? CompletableFuture.completedFuture(null)
                                    : log.append(
                                            TOPIC, List.of(mine), KeyedLog.ANY_END, APPEND_TIMEOUT);
                        })
                .whenCompleteAsync(
                        (outcome, error) -> {
                            if (error == null) {
                                registered = true;
                            } else {
                                loop.schedule(this::start, RETRY_SECONDS, TimeUnit.SECONDS);
                            }
                        },
                        loop);
    }
}
