package org.fescueloom.daemon.dispatch;

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
 * have heard from the dispatcher, and claims at that offset when its turn comes; {@link
 * EntryRoster} determines the turns. No candidacy starts while the calls of this entry to the log
 * service fail: an outage for all entries is no reason to replace a live dispatcher, and a
 * dispatcher whose calls have failed gets time to notice the end of the outage. Confined to the
 * event loop of its owner.
 */
final class Candidacy {
    /** The time in which other entries can respond that they have heard from the dispatcher. */
    private static final long RESPONSE_WAIT_MILLIS = 50;

    /** The delay between the claims of the first and the second entry. */
    private static final long TURN_MILLIS = 300;

    /** The pause after a failed call to the log service. */
    private static final long RETRY_MILLIS = 200;

    /**
     * The time in which a dispatcher notices the end of an outage: it repeats an append at most 400
     * ms after the last one, and the response shows whether the log service has recovered.
     */
    private static final long DISPATCHER_RECOVERY_MILLIS = 600;

    /**
     * The same after an outage in which calls got no response, as seen by this entry: an append
     * that was sent just before the end of the outage times out after 900 ms.
     */
    private static final long DISPATCHER_RECOVERY_FROM_SILENCE_MILLIS = 1_300;

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
    private long startNotBeforeMillis;
    private long logEndOffset = UNKNOWN;
    private boolean claiming;

    /** Whether the last read of the job log has failed. */
    private boolean jobLogFailing;

    /** When the job log has last recovered. The initial value is long ago. */
    private long jobLogRecoveredMillis = Long.MIN_VALUE / 2;

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
     */
    void start(SuspicionReason suspicion, long now) {
        reason = suspicion;
        startedMillis = now;
        logEndOffset = UNKNOWN;
        log.newest(JobStore.LOG, JobStore.AFTER_ALL_KEYS)
                .whenCompleteAsync(
                        (page, error) -> {
                            updateJobLogState(error == null);
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

    private void updateJobLogState(boolean responds) {
        if (responds && jobLogFailing) {
            jobLogRecoveredMillis = clocks.now().monotonicMillis();
        }
        jobLogFailing = !responds;
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

    /**
     * Claims if the turn of this entry has come.
     *
     * @param now the present time on the monotonic clock, in milliseconds
     * @param turn the number of entries that claim before this one, as far as is known now
     */
    void claimIfDue(long now, int turn) {
        if (started()
                && logEndOffset != UNKNOWN
                && now >= startedMillis + RESPONSE_WAIT_MILLIS + delayMillis(turn)
                && now >= earliestClaimMillis()
                && !claiming) {
            claim(logEndOffset);
        }
    }

    /** Returns the time before which the dispatcher may notice that the job log has recovered. */
    private long earliestClaimMillis() {
        return reason == SuspicionReason.LOG_FAILS_IT
                ? jobLogRecoveredMillis + DISPATCHER_RECOVERY_FROM_SILENCE_MILLIS
                : Long.MIN_VALUE;
    }

    /**
     * Returns how long an entry waits for those that claim before it. Grows with the logarithm of
     * the turn, so that many entries that do not respond delay the next claim by little. If two
     * entries claim at once, the log service stores only one of the claims.
     */
    static long delayMillis(int turn) {
        return Math.round(TURN_MILLIS * Math.log1p(turn) / Math.log(2));
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
}
