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
 * Follows the operator log, and never replaces its configuration by an older one.
 *
 * <p>Reads the newest records, then waits for further ones. Starts again with the newest records if
 * the log service has compacted the next ones. While calls of this process to the log service fail,
 * adopts the snapshot of another process if that is newer.
 */
public final class FleetFollower implements FleetViewSource {
    /**
     * Time for which a read waits for records; short enough to detect a silent connection within
     * seconds.
     */
    private static final Duration READ_WAIT = Duration.ofMillis(1_000);

    /**
     * Maximum age of a current view: one read that waits, and the transit time of its response.
     * Changes take effect everywhere within 2 s.
     */
    private static final long MAX_CURRENT_AGE_MILLIS = 1_500;

    /** Upper bound of the pause before the first retry of a read; doubles with each further one. */
    private static final long FIRST_RETRY_MILLIS = 50;

    /** Maximum pause before a retry of a read. */
    private static final long MAX_RETRY_MILLIS = 500;

    private final KeyedLog log;
    private final LogPartition partition;
    private final OperatorRecordDecoder decoder;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;
    private final Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, new Random());
    private final LogServiceContact contact = LogServiceContact.withSystemClocks();
    private final Map<String, KeyedRecord> newestRecords = new LinkedHashMap<>();
    private volatile FleetView view = FleetView.EMPTY;
    private volatile FleetSnapshot snapshot = FleetSnapshot.EMPTY;
    private volatile boolean logFailing;
    private volatile boolean closed;

    /** The monotonic time at which reads began to fail; valid only while they fail. */
    private long failingSinceMillis;

    private volatile long logHealthySinceMillis = contact.now().monotonicMillis();

    /** Whether the previous read has succeeded and has found no new records. */
    private boolean caughtUp;

    /**
     * Creates a follower.
     *
     * @param log the log service, not null
     * @param partition the operator log, not null
     * @param decoder decodes the records, not null
     * @param loop the event loop of the follower, not null
     * @param metrics counts changes, failures and retries, not null
     */
    public FleetFollower(
            KeyedLog log,
            LogPartition partition,
            OperatorRecordDecoder decoder,
            ScheduledExecutorService loop,
            Metrics metrics) {
        this.log = log;
        this.partition = partition;
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
        return contact.freshWithin(MAX_CURRENT_AGE_MILLIS);
    }

    /**
     * Tells whether calls of this process to the log service fail.
     *
     * @return whether the last read has failed
     */
    public boolean logFailing() {
        return logFailing;
    }

    /**
     * Returns for how long no read of the operator log has failed.
     *
     * @return the time in milliseconds, at most since the follower was created; 0 while reads fail
     */
    long logHealthyForMillis() {
        return logFailing ? 0 : contact.now().monotonicMillis() - logHealthySinceMillis;
    }

    /** Starts to follow the operator log. */
    public void start() {
        readNewest();
    }

    /** Stops following the operator log. */
    public void close() {
        closed = true;
    }

    /** Returns a snapshot that other processes can adopt. */
    FleetSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Adopts the snapshot of another process if it is newer than the view.
     *
     * @param other the snapshot
     * @param peer the address of the other process, for the log
     */
    void adopt(FleetSnapshot other, String peer) {
        loop.execute(
                () -> {
                    if (other.offset() > view.offset()) {
                        replaceAll(other);
                        metrics.count("fleet.adopted");
                        EventLog.event("fleet-adopted")
                                .field("from", peer)
                                .field("config", view.version())
                                .field("offset", view.offset())
                                .info();
                    }
                });
    }

    /**
     * Records that another process knew no records beyond an offset. Ignored if this process has
     * not read the operator log up to that offset, or has no configuration.
     *
     * @param offset the offset at which the operator log ended for the other process
     * @param asOf the time at which the operator log ended there
     */
    void confirm(long offset, LogServiceContact.ClockReading asOf) {
        loop.execute(
                () -> {
                    if (offset <= view.offset() && view.configuration() != null) {
                        contact.confirm(asOf);
                    }
                });
    }

    /** Reads the clocks, for {@link #confirm}. */
    LogServiceContact.ClockReading now() {
        return contact.now();
    }

    private void readNewest() {
        if (closed) {
            return;
        }
        caughtUp = false;
        LogServiceContact.ClockReading sent = contact.now();
        LatestRecords.read(log, partition)
                .thenApply(latest -> new FleetSnapshot(latest.resumeOffset(), latest.records()))
                .whenCompleteAsync(
                        (latest, error) -> {
                            if (error != null) {
                                onReadFailure(this::readNewest, error);
                            } else if (latest.offset() < view.offset()) {
                                // The response is older than the view.
                                retryLater(this::readNewest);
                            } else {
                                onReadSuccess(sent);
                                replaceAll(latest);
                                readNext();
                            }
                        },
                        loop);
    }

    private void readNext() {
        if (closed) {
            return;
        }
        // A read waits only if the previous one found nothing new, so that the first read after a
        // failure gets its response at once.
        Duration wait = caughtUp ? READ_WAIT : Duration.ZERO;
        long from = view.offset();
        LogServiceContact.ClockReading sent = contact.now();
        log.read(partition, from, wait)
                .whenCompleteAsync(
                        (slice, error) -> {
                            if (error != null) {
                                caughtUp = false;
                                onReadFailure(this::readNext, error);
                            } else if (slice.expired()) {
                                readNewest();
                            } else {
                                caughtUp = slice.records().isEmpty();
                                onReadSuccess(caughtUp ? currentAsOf(sent, wait) : sent);
                                apply(from, slice.records());
                                readNext();
                            }
                        },
                        loop);
    }

    /**
     * Returns the time up to which a read without records shows that none were appended: the end of
     * its wait, or now if that is earlier.
     */
    private LogServiceContact.ClockReading currentAsOf(
            LogServiceContact.ClockReading sent, Duration wait) {
        long elapsed = contact.now().monotonicMillis() - sent.monotonicMillis();
        return sent.plus(Math.min(wait.toMillis(), elapsed));
    }

    private void onReadFailure(Runnable step, Throwable error) {
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

    /**
     * Records a successful read.
     *
     * @param asOf the time up to which the read shows all records
     */
    private void onReadSuccess(LogServiceContact.ClockReading asOf) {
        backoff.reset();
        contact.confirm(asOf);
        if (logFailing) {
            logHealthySinceMillis = contact.now().monotonicMillis();
            logFailing = false;
            EventLog.event("operator-log-regained")
                    .field("offset", view.offset())
                    .field("config", view.version())
                    .field("millis", contact.now().monotonicMillis() - failingSinceMillis)
                    .field("answer-took", ageMillis())
                    .info();
        }
    }

    private void replaceAll(FleetSnapshot snapshot) {
        newestRecords.clear();
        fold(snapshot.records(), new HashSet<>(), snapshot.offset());
    }

    /**
     * Applies records, except those already adopted from another process during the read.
     *
     * @param from the offset of the first record
     */
    private void apply(long from, List<KeyedRecord> records) {
        int alreadyApplied = (int) Math.min(records.size(), view.offset() - from);
        if (alreadyApplied < records.size()) {
            List<KeyedRecord> newRecords = records.subList(alreadyApplied, records.size());
            fold(newRecords, new HashSet<>(view.zonesOut()), from + records.size());
        }
    }

    /**
     * Folds records into the state, and publishes the view.
     *
     * @param zonesOut the zones that are out of service before the records are applied
     * @param end the offset after the last record
     */
    private void fold(List<KeyedRecord> records, Set<String> zonesOut, long end) {
        FleetConfiguration configuration = view.configuration();
        for (KeyedRecord operatorRecord : records) {
            configuration = newerOf(configuration, decodeConfiguration(operatorRecord));
            Optional<String> zone = decoder.zone(operatorRecord.key());
            if (operatorRecord.value().length == 0) {
                newestRecords.remove(operatorRecord.key());
                zone.ifPresent(zonesOut::remove);
            } else {
                newestRecords.put(operatorRecord.key(), operatorRecord);
                zone.ifPresent(zonesOut::add);
            }
        }
        publish(new FleetView(configuration, zonesOut, end));
    }

    /**
     * Decodes a configuration. Returns empty also if the decoder fails, so that one record does not
     * block later ones.
     */
    private Optional<FleetConfiguration> decodeConfiguration(KeyedRecord operatorRecord) {
        try {
            return decoder.configuration(operatorRecord);
        } catch (RuntimeException e) {
            metrics.count("fleet.records-unreadable");
            EventLog.event("fleet-record-unreadable")
                    .field("key", operatorRecord.key())
                    .error(e)
                    .error();
            return Optional.empty();
        }
    }

    private static FleetConfiguration newerOf(
            FleetConfiguration known, Optional<FleetConfiguration> read) {
        boolean newer =
                read.isPresent() && (known == null || read.get().version() > known.version());
        return newer ? read.get() : known;
    }

    private void publish(FleetView newer) {
        boolean changed =
                newer.version() != view.version() || !newer.zonesOut().equals(view.zonesOut());
        view = newer;
        snapshot = new FleetSnapshot(newer.offset(), List.copyOf(newestRecords.values()));
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
