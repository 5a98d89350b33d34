package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/**
 * Appends a claim to the job log and loads the stored state.
 *
 * <p>The offset after the claim is the epoch, so each later claim has a higher epoch. After the
 * claim no other process can append without being detected, so the stored state does not change
 * while it is loaded.
 *
 * <p>A claim is conditional on the end offset of the log at the time of the decision to claim. If
 * the log has advanced since, another process has appended. The caller then decides whether to
 * claim again, because a repeated claim might replace a dispatcher that other entries have just
 * chosen, or the suspected dispatcher after it has recovered.
 */
final class ClaimAttempt {
    /** The maximum time to wait for the response to the append of the claim. */
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final KeyedLog log;
    private final KeyedRecord claim;
    private final LogServiceContact clocks;

    ClaimAttempt(KeyedLog log, DispatchClaim claim, LogServiceContact clocks) {
        this.log = log;
        this.claim = new KeyedRecord(JobStore.CLAIM_KEY, Json.write(claim));
        this.clocks = clocks;
    }

    /** Describes the result of a claim. */
    sealed interface Result {
        /** The claim is stored, and this entry is the dispatcher; holds its initial state. */
        record Won(Dispatcher.InitialState initialState) implements Result {}

        /**
         * Another entry has claimed in the meantime; holds the claim and the epoch of that entry.
         */
        record ClaimedByOther(DispatchClaim claim, long epoch) implements Result {}

        /**
         * Only records other than claims were appended in the meantime; holds the new end offset of
         * the log.
         */
        record LogAdvanced(long endOffset) implements Result {}
    }

    /**
     * Appends the claim, and loads the stored state if the append succeeds.
     *
     * @param endOffset the end offset of the log at the time of the decision to claim
     * @param onClaimStored receives the epoch as soon as the claim is stored, before the state is
     *     loaded
     * @return a future of the result; fails if a call to the log service fails
     */
    CompletableFuture<Result> run(long endOffset, LongConsumer onClaimStored) {
        LogServiceContact.ClockReading sent = clocks.now();
        return log.append(JobStore.LOG, List.of(claim), endOffset, TIMEOUT)
                .thenCompose(
                        outcome -> {
                            if (!outcome.appended()) {
                                return findNewestClaim(endOffset, outcome.endOffset());
                            }
                            onClaimStored.accept(outcome.endOffset());
                            return load(outcome.endOffset(), sent);
                        });
    }

    private CompletableFuture<Result> load(long epoch, LogServiceContact.ClockReading sent) {
        return JobStore.load(log)
                .thenApply(jobs -> new Result.Won(new Dispatcher.InitialState(epoch, sent, jobs)));
    }

    /**
     * Finds the newest claim among the records from an offset on. If there is none, the result is
     * {@link Result.LogAdvanced}.
     */
    private CompletableFuture<Result> findNewestClaim(long fromOffset, long endOffset) {
        return log.read(JobStore.LOG, fromOffset, Duration.ZERO)
                .thenApply(
                        slice -> {
                            List<KeyedRecord> records = slice.records();
                            for (int i = records.size() - 1; i >= 0; i--) {
                                if (records.get(i).key().equals(JobStore.CLAIM_KEY)) {
                                    return claimedByOther(records.get(i), fromOffset + i + 1);
                                }
                            }
                            return new Result.LogAdvanced(Math.max(endOffset, slice.endOffset()));
                        });
    }

    private static Result claimedByOther(KeyedRecord claimRecord, long epoch)
            throws SchedulerException {
        return new Result.ClaimedByOther(
                Json.read(claimRecord.value(), DispatchClaim.class), epoch);
    }
}
