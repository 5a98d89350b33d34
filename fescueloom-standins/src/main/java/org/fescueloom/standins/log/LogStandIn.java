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
import org.fescueloom.standins.StandInReply;
import org.fescueloom.standins.StandInRequest;

/** Stands in for the platform's log service; keeps its streams in memory. */
public final class LogStandIn extends StandIn {
    private static final long MAX_WAIT_MILLIS = 60_000L;
    private static final int DEFAULT_PAGE = 1_000;
    private static final long EXPIRY_CHECK_MILLIS = 50L;

    private final int retain;
    private final AppendLimiter limiter;
    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private Faults expired = Faults.NONE;

    /**
     * Creates a log service that does not listen yet.
     *
     * @param listen where it will listen, not null
     * @param retain how many records each stream keeps, at least 1
     * @param appendsPerSecond how many appends it takes in a second, at least 1
     * @throws IllegalArgumentException if a number is below 1
     */
    public LogStandIn(ListenAddress listen, int retain, int appendsPerSecond) {
        super(listen);
        if (retain < 1 || appendsPerSecond < 1) {
            throw new IllegalArgumentException("retain and appendsPerSecond must be at least 1");
        }
        this.retain = retain;
        limiter = new AppendLimiter(appendsPerSecond);
        String stream = "/v1/streams/{stream}";
        server().route("POST", stream + "/records", this::append);
        server().route("GET", stream + "/records", this::read);
        server().route("GET", stream, r -> CompletableFuture.completedFuture(describe(r)));
    }

    @Override
    public void start() {
        super.start();
        server().timers()
                .scheduleWithFixedDelay(
                        this::expireOnFault,
                        EXPIRY_CHECK_MILLIS,
                        EXPIRY_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void faults(Faults faults) {
        super.faults(faults);
        expireOnFault();
    }

    /**
     * Removes all but the newest records of every stream.
     *
     * @param keep how many records of each stream are kept
     */
    public void expire(int keep) {
        streams.values().forEach(s -> s.trim(keep));
    }

    @Override
    public Map<String, LogPage> records() {
        Map<String, LogPage> pages = new ConcurrentHashMap<>();
        streams.forEach((name, s) -> pages.put(name, s.page(s.first(), Integer.MAX_VALUE)));
        return pages;
    }

    @Override
    public void close() {
        super.close();
    }

    private synchronized void expireOnFault() {
        Faults current = server().faults().current();
        if (current.equals(expired)) {
            return;
        }
        expired = current;
        current.faults().stream()
                .filter(f -> f.kind() == FaultKind.EXPIRE_RECORDS)
                .mapToInt(Fault::amount)
                .forEach(this::expire);
    }

    private LogStream stream(StandInRequest request) {
        String name = request.pathParameter("stream");
        return streams.computeIfAbsent(name, n -> new LogStream(retain));
    }

    private CompletableFuture<StandInReply> append(StandInRequest request) {
        List<NewRecord> records = request.json(AppendRequest.class).records();
        if (records.isEmpty()) {
            throw new IllegalArgumentException("records is empty");
        }
        LogStream stream = stream(request);
        CompletableFuture<StandInReply> reply = new CompletableFuture<>();
        long waitMicros = limiter.reserve(System.nanoTime());
        Runnable work =
                () -> reply.complete(StandInReply.json(200, new Appended(stream.append(records))));
        server().timers().schedule(work, waitMicros, TimeUnit.MICROSECONDS);
        return reply;
    }

    private CompletableFuture<StandInReply> read(StandInRequest request) {
        LogStream stream = stream(request);
        long from = request.number("from", 0L);
        int max = (int) Math.min(request.number("max", DEFAULT_PAGE), Integer.MAX_VALUE);
        long wait = Math.min(request.number("waitMillis", 0L), MAX_WAIT_MILLIS);
        if (from < 0L || max < 1 || wait < 0L) {
            throw new IllegalArgumentException("from, max or waitMillis is out of range");
        }
        CompletableFuture<Void> due = stream.await(from);
        return due.completeOnTimeout(null, wait, TimeUnit.MILLISECONDS)
                .thenApply(nothing -> page(stream, from, max));
    }

    private static StandInReply page(LogStream stream, long from, int max) {
        LogPage page = stream.page(from, max);
        return StandInReply.json(from < page.first() ? 410 : 200, page);
    }

    private StandInReply describe(StandInRequest request) {
        LogStream stream = stream(request);
        LogPage page = stream.page(Long.MAX_VALUE, 1);
        return StandInReply.json(200, new LogPage(page.first(), page.next(), List.of()));
    }

    /**
     * Asks to append records.
     *
     * @param records the records; null counts as none
     */
    record AppendRequest(List<NewRecord> records) {
        AppendRequest {
            records = records == null ? List.of() : List.copyOf(records);
        }
    }

    /**
     * Answers an append.
     *
     * @param offset the offset of the first record
     */
    record Appended(long offset) {}
}
