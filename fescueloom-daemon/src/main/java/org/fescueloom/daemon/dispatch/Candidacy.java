package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.Failures;

/**
 * Decides when an entry that suspects the dispatcher claims its place, and claims.
 *
 * <p>The entry reads where the log of jobs ends, gives the others time to say that they hear the
 * dispatcher, and claims at that end when its turn has come. While the log service fails this entry
 * nothing is claimed: an outage for all is no reason to replace a dispatcher that lives, and one
 * that the log service has failed is given time to notice the end of the outage. Confined to the
 * thread of its owner.
 */
final class Candidacy {
    /** How long other entries are given to say that they hear the dispatcher. */
    private static final long ASK_MILLIS = 50;

    /** How much later the next entry in turn claims. */
    private static final long TURN_MILLIS = 300;

    /** The pause after the log service has failed this entry. */
    private static final long RETRY_MILLIS = 200;

    /** A dispatcher repeats an append at most 400 ms after the last one; its answer tells. */
    private static final long DISPATCHER_NOTICES_MILLIS = 600;

    private static final long UNKNOWN = -1;

    private final KeyedLog log;
    private final ClaimAttempt attempt;
    private final LongSupplier servedForMillis;
    private final LogServiceContact clocks;
    private final Executor loop;
    private final LongConsumer claimed;
    private final Consumer<ClaimAttempt.Result> ended;
    private SuspicionReason reason;
    private long since = UNKNOWN;
    private long claimNotBefore;
    private long beginNotBefore;
    private long logEnd = UNKNOWN;
    private boolean claiming;

    /**
     * Creates a candidacy that has not begun.
     *
     * @param log the log service
     * @param attempt claims
     * @param servedForMillis tells for how long the log service has served this entry, in
     *     milliseconds; 0 while it fails
     * @param clocks tells the time
     * @param loop the thread of the owner
     * @param claimed takes the epoch of a claim that was stored, before its result, on the thread
     *     of the owner
     * @param ended takes the result of a claim, on the thread of the owner
     */
    Candidacy(
            KeyedLog log,
            ClaimAttempt attempt,
            LongSupplier servedForMillis,
            LogServiceContact clocks,
            Executor loop,
            LongConsumer claimed,
            Consumer<ClaimAttempt.Result> ended) {
        this.log = log;
        this.attempt = attempt;
        this.servedForMillis = servedForMillis;
        this.clocks = clocks;
        this.loop = loop;
        this.claimed = claimed;
        this.ended = ended;
    }

    /** Returns the suspicion that was looked into last, or null. */
    SuspicionReason reason() {
        return reason;
    }

    /** Tells whether a claim is under way. */
    boolean claiming() {
        return claiming;
    }

    /** Tells whether a suspicion is being looked into. */
    boolean started() {
        return since != UNKNOWN;
    }

    /**
     * Tells whether a suspicion may be looked into now.
     *
     * @param suspicion why the dispatcher is to be replaced
     * @param now the time, in milliseconds
     */
    boolean mayStart(SuspicionReason suspicion, long now) {
        long least = suspicion == SuspicionReason.LOG_FAILS_IT ? DISPATCHER_NOTICES_MILLIS : 1;
        return !claiming && now >= beginNotBefore && servedForMillis.getAsLong() >= least;
    }

    /**
     * Begins to look into a suspicion.
     *
     * @param suspicion why the dispatcher is to be replaced
     * @param now the time, in milliseconds
     * @param claimTurn how many entries claim before this one
     */
    void start(SuspicionReason suspicion, long now, int turn) {
        reason = suspicion;
        since = now;
        claimNotBefore = now + ASK_MILLIS + TURN_MILLIS * turn;
        logEnd = UNKNOWN;
        log.newest(JobStore.TOPIC, JobStore.AFTER_ALL_KEYS)
                .whenCompleteAsync(
                        (page, error) -> {
                            if (since != now) {
                                return;
                            }
                            if (error == null) {
                                logEnd = page.endOffset();
                            } else {
                                putOff(error);
                            }
                        },
                        loop);
    }

    /** Ends a suspicion that has turned out wrong. */
    void cancel() {
        since = UNKNOWN;
    }

    /** Ends a suspicion, and begins no other one for a while. */
    void cancelAndPauseUntil(long millis) {
        since = UNKNOWN;
        beginNotBefore = Math.max(beginNotBefore, millis);
    }

    /** Waits for one turn less: an entry that comes before this one is gone. */
    void skipTurn() {
        if (started()) {
            claimNotBefore = Math.max(since + ASK_MILLIS, claimNotBefore - TURN_MILLIS);
        }
    }

    /** Claims if the time for it has come. */
    void tick(long now) {
        if (started() && logEnd != UNKNOWN && now >= claimNotBefore && !claiming) {
            claim(logEnd);
        }
    }

    private void claim(long end) {
        claiming = true;
        attempt.run(end, epoch -> loop.execute(() -> claimed.accept(epoch)))
                .whenCompleteAsync(
                        (result, error) -> {
                            claiming = false;
                            if (error != null) {
                                putOff(error);
                            } else {
                                answered(result);
                            }
                        },
                        loop);
    }

    private void answered(ClaimAttempt.Result result) {
        // A dispatcher that writes is served again; one that is only silent cannot be used.
        if (result instanceof ClaimAttempt.Result.LogAdvanced moved
                && started()
                && reason != SuspicionReason.LOG_FAILS_IT) {
            claim(moved.end());
            return;
        }
        since = UNKNOWN;
        ended.accept(result);
    }

    private void putOff(Throwable error) {
        EventLog.event("claim-failed").field("why", reason).error(Failures.causeOf(error)).warn();
        cancelAndPauseUntil(clocks.now().monotonicMillis() + RETRY_MILLIS);
    }

    /** Returns which entries claim before this one: those before it in the order of addresses. */
    static int claimTurn(List<String> entries, String dispatcher, String address) {
        long before =
                entries.stream()
                        .filter(e -> !e.equals(dispatcher) && e.compareTo(address) < 0)
                        .count();
        return (int) before;
    }
}
