package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/** Registers this entry in a log, and reads the registrations of other entries from it. */
final class EntryDirectory {
    /** The log in which entries register, each under its address. */
    static final LogPartition LOG = new LogPartition("keyed.entries", 0);

    /** The registration of an entry whose record cannot be read. */
    private static final Registration UNREADABLE = new Registration(null, 0.0);

    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(800);

    /** The pause after a failed call to the log service. */
    private static final long RETRY_SECONDS = 1;

    private final KeyedLog log;
    private final KeyedRecord ownRecord;
    private final ScheduledExecutorService loop;
    private final Consumer<Map<String, Registration>> onRegistrations;
    private boolean registered;

    /**
     * Describes a registered entry.
     *
     * @param process the process ID of the entry; null if unknown
     * @param cores the processor time of its machine, in cores; 0 if unknown, also if null, as in
     *     records of earlier versions
     */
    record Registration(String process, Double cores) {
        /** Replaces an unknown processor time. */
        Registration {
            cores = Objects.requireNonNullElse(cores, 0.0);
        }
    }

    /**
     * Creates a directory that is not started.
     *
     * @param log the log service
     * @param address the address of this entry
     * @param own describes this entry
     * @param loop the event loop of the owner
     * @param onRegistrations receives the registrations that were read, by address, on the event
     *     loop of the owner
     */
    EntryDirectory(
            KeyedLog log,
            String address,
            Registration own,
            ScheduledExecutorService loop,
            Consumer<Map<String, Registration>> onRegistrations) {
        this.log = log;
        this.ownRecord = new KeyedRecord(address, Json.write(own));
        this.loop = loop;
        this.onRegistrations = onRegistrations;
    }

    /**
     * Reads the registered addresses and registers the address of this entry; retries until both
     * have succeeded.
     */
    void start() {
        LatestRecords.read(log, LOG)
                .thenCompose(
                        latest -> {
                            Map<String, Registration> registrations = read(latest.records());
                            loop.execute(() -> onRegistrations.accept(registrations));
                            return registered
                                    ? CompletableFuture.completedFuture(null)
                                    : log.append(
                                            LOG,
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

    private static Map<String, Registration> read(List<KeyedRecord> records) {
        Map<String, Registration> registrations = new LinkedHashMap<>();
        for (KeyedRecord entry : records) {
            try {
                registrations.put(entry.key(), Json.read(entry.value(), Registration.class));
            } catch (SchedulerException e) {
                EventLog.event("registration-unreadable")
                        .field("entry", entry.key())
                        .error(e)
                        .warn();
                registrations.put(entry.key(), UNREADABLE);
            }
        }
        return registrations;
    }
}
