package org.fescueloom.daemon.dispatch;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.Failures;

/**
 * Decides when an entry that suspects the dispatcher claims to be the dispatcher, and executes the
 * claim.
 *
 * <p>The entry reads the end offset of the job log, gives other entries time to respond that they
 * have heard from the dispatcher, and claims at that offset when its turn comes. The turns of the
 * entries follow the order of their addresses. No candidacy starts while the calls of this entry to
 * the log service fail: an outage for all entries is no reason to replace a live dispatcher, and a
 * dispatcher whose calls have failed gets time to notice the end of the outage. Confined to the
 * event loop of its owner.
 */
final class Candidacy {
    /** The time in which other entries can respond that they have heard from the dispatcher. */
    private static final long RESPONSE_WAIT_MILLIS = 50;

    /** The delay between the claims of two entries with consecutive turns. */
    private static final long TURN_MILLIS = 300;

    /** The pause after a failed call to the log service. */
    private static final long RETRY_MILLIS = 200;

    /**
     * The time in which a dispatcher notices the end of an outage: it repeats an append at most 400
     * ms after the last one, and the response shows whether the log service has recovered.
     */
    private static final long DISPATCHER_RECOVERY_MILLIS = 600;

    /** As a start time: no candidacy is in progress. As an end offset: not read yet. */
    private static final long UNKNOWN = -1;

    private final KeyedLog log;
    private final ClaimAttempt claimAttempt;
    private final LongSupplier logHealthyForMillis;
    private final LogServiceContact clocks;
    private final Executor loop;
    private final LongConsumer onClaimStored;
    private final Consumer<ClaimAttempt.Result> onResult;
    private SuspicionReason reason;
    private long startedMillis = UNKNOWN;
    private long claimNotBeforeMillis;
    private long startNotBeforeMillis;
    private long logEndOffset = UNKNOWN;
    private boolean claiming;

    /**
     * Creates a candidacy that is not started.
     *
     * @param log the log service
     * @param claimAttempt executes the claim
     * @param logHealthyForMillis returns for how long no call of this entry to the log service has
     *     failed, in milliseconds; 0 while calls fail
     * @param clocks provides the time
     * @param loop the event loop of the owner
     * @param onClaimStored receives the epoch of a stored claim, before the result of the claim, on
     *     the event loop of the owner
     * @param onResult receives the result of a claim, on the event loop of the owner
     */
    Candidacy(
            KeyedLog log,
            ClaimAttempt claimAttempt,
            LongSupplier logHealthyForMillis,
            LogServiceContact clocks,
            Executor loop,
            LongConsumer onClaimStored,
            Consumer<ClaimAttempt.Result> onResult) {
        this.log = log;
        this.claimAttempt = claimAttempt;
        this.logHealthyForMillis = logHealthyForMillis;
        this.clocks = clocks;
        this.loop = loop;
        this.onClaimStored = onClaimStored;
        this.onResult = onResult;
    }

    /** Returns the reason for the last candidacy; null before the first one. */
    SuspicionReason reason() {
        return reason;
    }

    /** Tests whether a claim is in progress. */
    boolean claiming() {
        return claiming;
    }

    /** Tests whether a candidacy is in progress. */
    boolean started() {
        return startedMillis != UNKNOWN;
    }

    /**
     * Tests whether a candidacy may start.
     *
     * @param suspicion the reason to replace the dispatcher
     * @param now the present time on the monotonic clock, in milliseconds
     */
    boolean mayStart(SuspicionReason suspicion, long now) {
        // For other reasons, it is enough that calls do not fail at present.
        long minHealthyMillis =
                suspicion == SuspicionReason.LOG_FAILS_IT ? DISPATCHER_RECOVERY_MILLIS : 1;
        return !claiming
                && now >= startNotBeforeMillis
                && logHealthyForMillis.getAsLong() >= minHealthyMillis;
    }

    /**
     * Starts a candidacy.
     *
     * @param suspicion the reason to replace the dispatcher
     * @param now the present time on the monotonic clock, in milliseconds
     * @param turn the number of entries that claim before this one
     */
    void start(SuspicionReason suspicion, long now, int turn) {
        reason = suspicion;
        startedMillis = now;
        claimNotBeforeMillis = now + RESPONSE_WAIT_MILLIS + TURN_MILLIS * turn;
        logEndOffset = UNKNOWN;
        log.newest(JobStore.TOPIC, JobStore.AFTER_ALL_KEYS)
                .whenCompleteAsync(
                        (page, error) -> {
                            if (startedMillis != now) {
                                // The candidacy was cancelled in the meantime.
                                return;
                            }
                            if (error == null) {
                                logEndOffset = page.endOffset();
                            } else {
                                pauseAfterFailure(error);
                            }
                        },
                        loop);
    }

    /** Cancels the candidacy. */
    void cancel() {
        startedMillis = UNKNOWN;
    }

    /** Cancels the candidacy, and allows no other one before a time on the monotonic clock. */
    void cancelAndPauseUntil(long notBeforeMillis) {
        startedMillis = UNKNOWN;
        startNotBeforeMillis = Math.max(startNotBeforeMillis, notBeforeMillis);
    }

    /** Shortens the delay by one turn, because an entry with an earlier turn is not running. */
    void skipTurn() {
        if (started()) {
            claimNotBeforeMillis =
                    Math.max(
                            startedMillis + RESPONSE_WAIT_MILLIS,
                            claimNotBeforeMillis - TURN_MILLIS);
        }
    }

    /** Claims if the turn of this entry has come. */
    void claimIfDue(long now) {
        if (started() && logEndOffset != UNKNOWN && now >= claimNotBeforeMillis && !claiming) {
            claim(logEndOffset);
        }
    }

    private void claim(long endOffset) {
        claiming = true;
        claimAttempt
                .run(endOffset, epoch -> loop.execute(() -> onClaimStored.accept(epoch)))
                .whenCompleteAsync(
                        (result, error) -> {
                            claiming = false;
                            if (error != null) {
                                pauseAfterFailure(error);
                            } else {
                                handleResult(result);
                            }
                        },
                        loop);
    }

    private void handleResult(ClaimAttempt.Result result) {
        // The log has advanced, so the dispatcher may be able to append again. The suspicion that
        // its calls to the log service fail is then dropped. A dispatcher that does not respond
        // must still be replaced, so this entry claims again at the new end offset.
        if (result instanceof ClaimAttempt.Result.LogAdvanced advanced
                && started()
                && reason != SuspicionReason.LOG_FAILS_IT) {
            claim(advanced.endOffset());
            return;
        }
        startedMillis = UNKNOWN;
        onResult.accept(result);
    }

    private void pauseAfterFailure(Throwable error) {
        EventLog.event("claim-failed").field("why", reason).error(Failures.causeOf(error)).warn();
        cancelAndPauseUntil(clocks.now().monotonicMillis() + RETRY_MILLIS);
    }

    /**
     * Returns the number of entries that claim before an entry: those that precede it in the order
     * of addresses, not counting the dispatcher.
     */
    static int claimTurn(List<String> entries, String dispatcher, String address) {
        long turn =
                entries.stream()
                        .filter(e -> !e.equals(dispatcher) && e.compareTo(address) < 0)
                        .count();
        return (int) turn;
    }
}
