package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/**
 * Claims leadership in the log and reads what is kept there.
 *
 * <p>The offset behind the claim is the epoch: each later claim has a higher one. From then on
 * nobody else can append without being noticed, so the pages that are read do not change.
 *
 * <p>A claim names the offset at which the log ended when the decision to claim was made. If the
 * log has moved on since, somebody writes: the claim is not repeated blindly, since that would
 * replace a dispatcher that others have just chosen, or the one that was suspected and is well
 * again.
 */
final class ClaimAttempt {
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final KeyedLog log;
    private final KeyedRecord claim;
    private final LogServiceContact clocks;

    ClaimAttempt(KeyedLog log, DispatchClaim claim, LogServiceContact clocks) {
        this.log = log;
        this.claim = new KeyedRecord(JobStore.CLAIM_KEY, Json.write(claim));
        this.clocks = clocks;
    }

    /** Tells how a claim has ended. */
    sealed interface Result {
        /** The entry dispatches; holds what it starts from. */
        record Won(Dispatcher.InitialState start) implements Result {}

        /** Another entry has claimed since; holds its claim and its epoch. */
        record ClaimedByOther(DispatchClaim claim, long epoch) implements Result {}

        /** Records other than claims were appended since; holds where the log ends now. */
        record LogAdvanced(long end) implements Result {}
    }

    /**
     * Claims, and loads if that was successful.
     *
     * @param end where the log ended when the decision was made
     * @param claimed takes the epoch as soon as the claim is stored, before anything is loaded
     * @return a future of the result; fails if the log service fails
     */
    CompletableFuture<Result> run(long end, LongConsumer claimed) {
        LogServiceContact.ClockReading sent = clocks.now();
        return log.append(JobStore.TOPIC, List.of(claim), end, TIMEOUT)
                .thenCompose(
                        outcome -> {
                            if (!outcome.appended()) {
                                return lookAt(end, outcome.endOffset());
                            }
                            claimed.accept(outcome.endOffset());
                            return load(outcome.endOffset(), sent);
                        });
    }

    private CompletableFuture<Result> load(long epoch, LogServiceContact.ClockReading sent) {
        return JobStore.load(log)
                .thenCombine(
                        LatestRecords.read(log, IntakeRequest.TOPIC),
                        (jobs, intake) ->
                                new Result.Won(
                                        new Dispatcher.InitialState(epoch, sent, jobs, intake)));
    }

    /** Looks for the newest claim among the records that were appended behind an offset. */
    private CompletableFuture<Result> lookAt(long from, long end) {
        return log.read(JobStore.TOPIC, from, Duration.ZERO)
                .thenApply(
                        slice -> {
                            List<KeyedRecord> records = slice.records();
                            for (int i = records.size() - 1; i >= 0; i--) {
                                if (records.get(i).key().equals(JobStore.CLAIM_KEY)) {
                                    return overtaken(records.get(i), from + i + 1);
                                }
                            }
                            return new Result.LogAdvanced(Math.max(end, slice.endOffset()));
                        });
    }

    private static Result overtaken(KeyedRecord found, long epoch) throws SchedulerException {
        return new Result.ClaimedByOther(Json.read(found.value(), DispatchClaim.class), epoch);
    }
}
