package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.log.Backoff;

/**
 * Follows what operators set, and never goes back to an older configuration.
 *
 * <p>Reads the newest records, then waits for further ones. Starts again with the newest records
 * when the log no longer holds those that follow. While the log service fails this process, it
 * takes what another process has read, if that is newer.
 */
public final class FleetFollower implements FleetViewSource {
    /** How long one read waits; short enough to notice a silent connection within seconds. */
    private static final Duration WAIT = Duration.ofMillis(1_000);

    /**
     * One read that waits and the way of its answer; changes are in force everywhere within 2 s.
     */
    private static final long CURRENT_MILLIS = 1_500;

    private static final long FIRST_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 500;

    private final KeyedLog log;
    private final String topic;
    private final OperatorRecordDecoder decoder;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;
    private final Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, new Random());
    private final LogServiceContact contact = LogServiceContact.withSystemClocks();
    private final Map<String, KeyedRecord> newest = new LinkedHashMap<>();
    private volatile FleetView view = FleetView.EMPTY;
    private volatile FleetSnapshot snapshot = FleetSnapshot.EMPTY;
    private volatile boolean logFailing;
    private volatile boolean closed;
    private long failingSinceMillis;
    private volatile long servedSinceMillis = contact.now().monotonicMillis();
    private boolean settled;

    /**
     * Creates a follower.
     *
     * @param log the log service, not null
     * @param topic the log that operators write, not null
     * @param decoder reads the records, not null
     * @param loop runs the follower, not null
     * @param metrics counts what is read, not null
     */
    public FleetFollower(
            KeyedLog log,
            String topic,
            OperatorRecordDecoder decoder,
            ScheduledExecutorService loop,
            Metrics metrics) {
        this.log = log;
        this.topic = topic;
        this.decoder = decoder;
        this.loop = loop;
        this.metrics = metrics;
        metrics.registry().gauge("fleet.version", () -> () -> view.version());
        metrics.registry().gauge("fleet.age-millis", () -> this::ageMillis);
    }

    @Override
    public FleetView view() {
        return view;
    }

    @Override
    public long ageMillis() {
        return contact.ageMillis();
    }

    @Override
    public boolean viewCurrent() {
        return contact.freshWithin(CURRENT_MILLIS);
    }

    /**
     * Tells whether the log service fails this process now.
     *
     * @return whether the last read has failed
     */
    public boolean logFailing() {
        return logFailing;
    }

    /**
     * Returns for how long no call of this process to the log service has failed.
     *
     * @return milliseconds, since the start at most; 0 while calls fail
     */
    long logHealthyForMillis() {
        return logFailing ? 0 : contact.now().monotonicMillis() - servedSinceMillis;
    }

    /** Starts to follow. */
    public void start() {
        readNewest();
    }

    /** Ends following. */
    public void close() {
        closed = true;
    }

    /** Returns what another process may take from this one. */
    FleetSnapshot snapshot() {
        return snapshot;
    }

    /** Takes what another process has read, unless more is known here. */
    void adopt(FleetSnapshot other, String from) {
        loop.execute(
                () -> {
                    if (other.offset() > view.offset()) {
                        replaceAll(other);
                        metrics.count("fleet.adopted");
                        EventLog.event("fleet-adopted")
                                .field("from", from)
                                .field("config", view.version())
                                .field("offset", view.offset())
                                .info();
                    }
                });
    }

    /**
     * Notes that another process knew nothing newer than an offset.
     *
     * @param offset where the log ended for the other process
     * @param asOf when that was so
     */
    void confirm(long offset, LogServiceContact.ClockReading asOf) {
        loop.execute(
                () -> {
                    if (offset <= view.offset() && view.configuration() != null) {
                        contact.confirm(asOf);
                    }
                });
    }

    /** Returns the present moment, for {@link #confirm}. */
    LogServiceContact.ClockReading now() {
        return contact.now();
    }

    private void readNewest() {
        if (closed) {
            return;
        }
        settled = false;
        LogServiceContact.ClockReading sent = contact.now();
        LatestRecords.read(log, topic)
                .thenApply(read -> new FleetSnapshot(read.resumeOffset(), read.records()))
                .whenCompleteAsync(
                        (read, error) -> {
                            if (error != null) {
                                retry(this::readNewest, error);
                            } else if (read.offset() < view.offset()) {
                                // An answer from before what is known here.
                                retryLater(this::readNewest);
                            } else {
                                regained(sent);
                                replaceAll(read);
                                readOn();
                            }
                        },
                        loop);
    }

    private void readOn() {
        if (closed) {
            return;
        }
        // Only a read that found nothing new is followed by one that waits: the first answer after
        // a failure comes at once.
        Duration wait = settled ? WAIT : Duration.ZERO;
        long from = view.offset();
        LogServiceContact.ClockReading sent = contact.now();
        log.read(topic, from, wait)
                .whenCompleteAsync(
                        (slice, error) -> {
                            if (error != null) {
                                settled = false;
                                retry(this::readOn, error);
                            } else if (slice.expired()) {
                                readNewest();
                            } else {
                                settled = slice.records().isEmpty();
                                regained(settled ? endOfWait(sent, wait) : sent);
                                apply(from, slice.records());
                                readOn();
                            }
                        },
                        loop);
    }

    /** Returns until when a read that waited has surely found nothing. */
    private LogServiceContact.ClockReading endOfWait(
            LogServiceContact.ClockReading sent, Duration wait) {
        long elapsed = contact.now().monotonicMillis() - sent.monotonicMillis();
        return sent.plus(Math.min(wait.toMillis(), elapsed));
    }

    private void retry(Runnable step, Throwable error) {
        metrics.countRetry(Failures.typeOf(error));
        if (!logFailing) {
            logFailing = true;
            failingSinceMillis = contact.now().monotonicMillis();
            EventLog.event("operator-log-lost")
                    .field("offset", view.offset())
                    .field("config", view.version())
                    .field("age", ageMillis())
                    .error(Failures.causeOf(error))
                    .warn();
        }
        retryLater(step);
    }

    private void retryLater(Runnable step) {
        loop.schedule(step, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private void regained(LogServiceContact.ClockReading sent) {
        backoff.reset();
        contact.confirm(sent);
        if (logFailing) {
            servedSinceMillis = contact.now().monotonicMillis();
            logFailing = false;
            EventLog.event("operator-log-regained")
                    .field("offset", view.offset())
                    .field("config", view.version())
                    .field("millis", contact.now().monotonicMillis() - failingSinceMillis)
                    .field("answer-took", ageMillis())
                    .info();
        }
    }

    private void replaceAll(FleetSnapshot read) {
        newest.clear();
        fold(read.records(), new HashSet<>(), read.offset());
    }

    /** Applies records that begin at an offset, but those that were taken from another process. */
    private void apply(long from, List<KeyedRecord> records) {
        int known = (int) Math.min(records.size(), view.offset() - from);
        if (known < records.size()) {
            List<KeyedRecord> further = records.subList(known, records.size());
            fold(further, new HashSet<>(view.zonesOut()), from + records.size());
        }
    }

    /** Takes records over into what is known, and publishes it as of an offset. */
    private void fold(List<KeyedRecord> records, Set<String> zonesOut, long end) {
        FleetConfiguration configuration = view.configuration();
        for (KeyedRecord item : records) {
            configuration = newer(configuration, read(item));
            Optional<String> zone = decoder.zone(item.key());
            if (item.value().length == 0) {
                newest.remove(item.key());
                zone.ifPresent(zonesOut::remove);
            } else {
                newest.put(item.key(), item);
                zone.ifPresent(zonesOut::add);
            }
        }
        publish(new FleetView(configuration, zonesOut, end));
    }

    /** Reads a configuration; whatever is wrong with a record, those behind it are read. */
    private Optional<FleetConfiguration> read(KeyedRecord item) {
        try {
            return decoder.configuration(item);
        } catch (RuntimeException e) {
            metrics.count("fleet.records-unreadable");
            EventLog.event("fleet-record-unreadable").field("key", item.key()).error(e).error();
            return Optional.empty();
        }
    }

    private static FleetConfiguration newer(
            FleetConfiguration known, Optional<FleetConfiguration> read) {
        boolean newer =
                read.isPresent() && (known == null || read.get().version() > known.version());
        return newer ? read.get() : known;
    }

    private void publish(FleetView newer) {
        boolean changed =
                newer.version() != view.version() || !newer.zonesOut().equals(view.zonesOut());
        view = newer;
        snapshot = new FleetSnapshot(newer.offset(), List.copyOf(newest.values()));
        if (changed) {
            EventLog.event("fleet-changed")
                    .field("config", newer.version())
                    .field("zones-out", String.join(",", newer.zonesOut()))
                    .field("offset", newer.offset())
                    .info();
            metrics.count("fleet.changes");
        }
    }
}
