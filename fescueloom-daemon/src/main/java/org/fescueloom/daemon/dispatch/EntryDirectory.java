package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueloom.json.Json;

/**
 * Registers the address of this entry in a log, and reads the addresses of other entries from it.
 */
final class EntryDirectory {
    /** The log in which entries register their addresses. */
    static final String TOPIC = "keyed.entries";

    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(800);

    /** The pause after a failed call to the log service. */
    private static final long RETRY_SECONDS = 1;

    private final KeyedLog log;
    private final KeyedRecord ownRecord;
    private final ScheduledExecutorService loop;
    private final Consumer<List<String>> onAddresses;
    private boolean registered;

    /**
     * Creates a directory that is not started.
     *
     * @param log the log service
     * @param address the address of this entry
     * @param processId the process ID of this entry
     * @param loop the event loop of the owner
     * @param onAddresses receives the addresses that were read, on the event loop of the owner
     */
    EntryDirectory(
            KeyedLog log,
            String address,
            String processId,
            ScheduledExecutorService loop,
            Consumer<List<String>> onAddresses) {
        this.log = log;
        this.ownRecord = new KeyedRecord(address, Json.write(Map.of("process", processId)));
        this.loop = loop;
        this.onAddresses = onAddresses;
    }

    /**
     * Reads the registered addresses and registers the address of this entry; retries until both
     * have succeeded.
     */
    void start() {
        log.newest(TOPIC, "")
                .thenCompose(
                        page -> {
                            List<String> addresses =
                                    page.records().stream().map(KeyedRecord::key).toList();
                            loop.execute(() -> onAddresses.accept(addresses));
                            return registered
                                    ? CompletableFuture.completedFuture(null)
                                    : log.append(
                                            TOPIC,
                                            List.of(ownRecord),
                                            KeyedLog.ANY_END,
                                            APPEND_TIMEOUT);
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
