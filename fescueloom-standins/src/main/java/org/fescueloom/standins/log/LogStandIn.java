package org.fescueloom.standins.log;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.NewRecord;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.StandIn;
import org.fescueloom.standins.StandInRequest;
import org.fescueloom.standins.StandInResponse;

/** Simulates the log service of the platform; holds the streams in memory. */
public final class LogStandIn extends StandIn {
    private static final long MAX_WAIT_MILLIS = 60_000L;
    private static final int DEFAULT_PAGE_RECORDS = 1_000;
    private static final long EXPIRY_CHECK_MILLIS = 50L;

    private final int recordsPerStream;
    private final AppendLimiter limiter;
    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private Faults appliedFaults = Faults.NONE;

    /**
     * Creates a log service that does not listen yet.
     *
     * @param listen the address to listen on, not null
     * @param recordsPerStream the number of records that each stream retains, at least 1
     * @param appendsPerSecond the largest number of appends per second, at least 1; excess appends
     *     are delayed
     * @throws IllegalArgumentException if a number is below 1
     */
    public LogStandIn(ListenAddress listen, int recordsPerStream, int appendsPerSecond) {
        super(listen);
        if (recordsPerStream < 1 || appendsPerSecond < 1) {
            throw new IllegalArgumentException(
                    "retain and appends-per-second must be at least 1: "
                            + recordsPerStream
                            + ", "
                            + appendsPerSecond);
        }
        this.recordsPerStream = recordsPerStream;
        limiter = new AppendLimiter(appendsPerSecond);
        String streamPath = "/v1/streams/{stream}";
        server().route("POST", streamPath + "/records", this::append);
        server().route("GET", streamPath + "/records", this::read);
        server().route("GET", streamPath, r -> CompletableFuture.completedFuture(describe(r)));
    }

    @Override
    public void start() {
        super.start();
        server().timers()
                .scheduleWithFixedDelay(
                        this::applyExpiryFaults,
                        EXPIRY_CHECK_MILLIS,
                        EXPIRY_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void faults(Faults faults) {
        super.faults(faults);
        applyExpiryFaults();
    }

    /**
     * Removes the oldest records of each stream.
     *
     * @param keep the number of newest records that each stream keeps
     */
    public void expire(int keep) {
        streams.values().forEach(s -> s.trim(keep));
    }

    @Override
    public Map<String, LogPage> records() {
        Map<String, LogPage> pages = new ConcurrentHashMap<>();
        streams.forEach((name, s) -> pages.put(name, s.page(s.firstOffset(), Integer.MAX_VALUE)));
        return pages;
    }

    @Override
    public void close() {
        super.close();
    }

    /**
     * Removes records as the current faults demand, once for each replacement of the faults. Runs
     * periodically, because faults that are set over HTTP do not pass through {@link #faults}.
     */
    private synchronized void applyExpiryFaults() {
        Faults current = server().faults().current();
        if (current.equals(appliedFaults)) {
            return;
        }
        appliedFaults = current;
        current.faults().stream()
                .filter(f -> f.kind() == FaultKind.EXPIRE_RECORDS)
                .mapToInt(Fault::amount)
                .forEach(this::expire);
    }

    private LogStream stream(StandInRequest request) {
        String name = request.pathParameter("stream");
        return streams.computeIfAbsent(name, n -> new LogStream(recordsPerStream));
    }

    private CompletableFuture<StandInResponse> append(StandInRequest request) {
        List<NewRecord> records = request.json(AppendRequest.class).records();
        if (records.isEmpty()) {
            throw new IllegalArgumentException("the list of records is empty");
        }
        LogStream stream = stream(request);
        CompletableFuture<StandInResponse> response = new CompletableFuture<>();
        long waitMicros = limiter.reserve(System.nanoTime());
        Runnable appendAndRespond =
                () ->
                        response.complete(
                                StandInResponse.json(
                                        200, new AppendResponse(stream.append(records))));
        server().timers().schedule(appendAndRespond, waitMicros, TimeUnit.MICROSECONDS);
        return response;
    }

    private CompletableFuture<StandInResponse> read(StandInRequest request) {
        LogStream stream = stream(request);
        long from = request.number("from", 0L);
        int max = (int) Math.min(request.number("max", DEFAULT_PAGE_RECORDS), Integer.MAX_VALUE);
        long waitMillis = Math.min(request.number("waitMillis", 0L), MAX_WAIT_MILLIS);
        if (from < 0L || max < 1 || waitMillis < 0L) {
            throw new IllegalArgumentException(
                    "from and waitMillis must be at least 0, max at least 1: "
                            + from
                            + ", "
                            + waitMillis
                            + ", "
                            + max);
        }
        CompletableFuture<Void> recordAvailable = stream.await(from);
        return recordAvailable
                .completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
                .thenApply(nothing -> page(stream, from, max));
    }

    /** Returns records; responds with status 410 if the record at the offset has expired. */
    private static StandInResponse page(LogStream stream, long from, int max) {
        LogPage page = stream.page(from, max);
        return StandInResponse.json(from < page.first() ? 410 : 200, page);
    }

    private StandInResponse describe(StandInRequest request) {
        LogStream stream = stream(request);
        // No record has this offset, so the page holds no records.
        LogPage page = stream.page(Long.MAX_VALUE, 1);
        return StandInResponse.json(200, new LogPage(page.first(), page.next(), List.of()));
    }

    /**
     * Represents a request to append records.
     *
     * @param records the records; null is treated as none
     */
    record AppendRequest(List<NewRecord> records) {
        AppendRequest {
            records = records == null ? List.of() : List.copyOf(records);
        }
    }

    /**
     * Represents the response to an append.
     *
     * @param offset the offset of the first appended record
     */
    record AppendResponse(long offset) {}
}
