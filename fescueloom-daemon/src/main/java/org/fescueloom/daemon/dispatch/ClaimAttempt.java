package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.json.Json;

/**
 * Claims leadership in the log and reads what is kept there.
 *
 * <p>The offset behind the claim is the epoch: each later claim has a higher one. From then on
 * nobody else can append without being noticed, so the pages that are read do not change.
 */
final class ClaimAttempt {
    private static final Duration TIMEOUT = Duration.ofMillis(900);
    private static final int MAX_TRIES = 5;

    private final KeyedLog log;
    private final KeyedRecord claim;
    private final StoreContact clocks;

    ClaimAttempt(KeyedLog log, DispatchClaim claim, StoreContact clocks) {
        this.log = log;
        this.claim = new KeyedRecord(JobStore.CLAIM_KEY, Json.write(claim));
        this.clocks = clocks;
    }

    /**
     * Claims and loads.
     *
     * @param guess where the log may end
     * @return a future of what the dispatcher starts from; fails if the log service fails
     */
    CompletableFuture<Dispatcher.Start> run(long guess) {
        return claim(guess, MAX_TRIES)
                .thenCompose(
                        won ->
                                JobStore.load(log)
                                        .thenApply(
                                                content ->
                                                        new Dispatcher.Start(
                                                                won.end(), won.moment(), content)));
    }

    private record Won(long end, StoreContact.Moment moment) {}

    private CompletableFuture<Won> claim(long expectedEnd, int triesLeft) {
        StoreContact.Moment sent = clocks.now();
        return log.append(JobStore.TOPIC, List.of(claim), expectedEnd, TIMEOUT)
                .thenCompose(
                        outcome -> {
                            if (outcome.appended()) {
                                return CompletableFuture.completedFuture(
                                        new Won(outcome.endOffset(), sent));
                            }
                            if (triesLeft == 0) {
                                return CompletableFuture.failedFuture(Dispatcher.notDispatcher());
                            }
                            return claim(outcome.endOffset(), triesLeft - 1);
                        });
    }
}
