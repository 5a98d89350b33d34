package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescueloom.daemon.metrics.Metrics;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CandidacyTest {
    private static final int RESPONSE_WAIT_MILLIS = 50;
    private static final int TURN_MILLIS = 300;
    private static final DispatchClaim OWN_CLAIM = new DispatchClaim("mine", "p");
    private static final DispatchClaim OTHER_CLAIM = new DispatchClaim("other", "p");

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final List<ClaimAttempt.Result> results = new ArrayList<>();
    private final List<Long> epochs = new ArrayList<>();
    private int turn;
    private long logHealthyForMillis = 10_000;
    private final Candidacy candidacy =
            new Candidacy(
                    log,
                    attempt(OWN_CLAIM),
                    () -> logHealthyForMillis,
                    loop.logServiceContact(),
                    loop,
                    epochs::add,
                    results::add);

    private ClaimAttempt attempt(DispatchClaim claim) {
        return new ClaimAttempt(log, claim, loop.logServiceContact());
    }

    private void start(SuspicionReason reason, int ownTurn) {
        turn = ownTurn;
        candidacy.start(reason, loop.nowMillis());
        loop.advance(0);
    }

    private void tickAfter(long millis) {
        loop.advance(millis);
        candidacy.claimIfDue(loop.nowMillis(), turn);
        loop.advance(0);
    }

    private void storeAJob() {
        KeyedRecord job = new KeyedRecord(JobStore.progressKey("job"), new byte[] {1});
        log.append(JobStore.LOG, List.of(job), KeyedLog.ANY_END, Duration.ZERO);
    }

    private long claimCount() {
        return log.records(JobStore.LOG).stream()
                .filter(r -> r.key().equals(JobStore.CLAIM_KEY))
                .count();
    }

    @Nested
    class Turns {
        /** With a fixed delay for each entry before it, the last of 45 would wait for 13 s. */
        @Test
        void delayTheLastOfManyEntriesByLessThanTwoSeconds() {
            assertThat(Candidacy.delayMillis(0)).isZero();
            assertThat(Candidacy.delayMillis(1)).isEqualTo(TURN_MILLIS);
            assertThat(Candidacy.delayMillis(44)).isBetween(Candidacy.delayMillis(43) + 1, 1_999L);
        }

        @Test
        void delayTheClaim() {
            start(SuspicionReason.NO_DISPATCHER, 1);

            tickAfter(RESPONSE_WAIT_MILLIS + TURN_MILLIS - 1);
            assertThat(results).isEmpty();

            tickAfter(1);
            assertThat(results).singleElement().isInstanceOf(ClaimAttempt.Result.Won.class);
        }
    }

    @Nested
    class StoredClaim {
        /**
         * Guards against incident 21: other entries claimed while the first claimant was still
         * loading.
         */
        @Test
        void isReportedBeforeTheStoredStateIsLoaded() {
            start(SuspicionReason.NO_DISPATCHER, 0);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);

            tickAfter(RESPONSE_WAIT_MILLIS);

            assertThat(epochs).containsExactly(1L);
            assertThat(results).isEmpty();
            assertThat(candidacy.claiming()).isFalse();
        }
    }

    @Nested
    class SkippedTurns {
        @Test
        void shortenTheDelay() {
            start(SuspicionReason.NO_DISPATCHER, 2);
            turn--;

            tickAfter(RESPONSE_WAIT_MILLIS + TURN_MILLIS);

            assertThat(results).hasSize(1);
        }

        @Test
        void doNotShortenTheWaitForResponses() {
            start(SuspicionReason.NO_DISPATCHER, 1);
            turn--;

            tickAfter(RESPONSE_WAIT_MILLIS - 1);

            assertThat(results).isEmpty();
        }
    }

    @Nested
    class AdvancedJobLog {
        /**
         * Guards against incident 21: after a restart, entries replaced each other as the
         * dispatcher.
         */
        @Test
        void withTheClaimOfAnotherEntryEndsTheCandidacy() {
            start(SuspicionReason.NO_DISPATCHER, 1);
            attempt(OTHER_CLAIM).run(0, epoch -> {}).join();
            storeAJob();

            tickAfter(RESPONSE_WAIT_MILLIS + TURN_MILLIS);

            assertThat(results)
                    .containsExactly(new ClaimAttempt.Result.ClaimedByOther(OTHER_CLAIM, 1));
            assertThat(claimCount()).isEqualTo(1);
            assertThat(candidacy.started()).isFalse();
        }

        /**
         * Guards against incident 21: a live dispatcher was replaced after an outage of the log
         * service.
         */
        @Test
        void withAppendsOfARecoveredDispatcherEndsTheCandidacy() {
            attempt(OTHER_CLAIM).run(0, epoch -> {}).join();
            start(SuspicionReason.LOG_FAILS_IT, 0);
            storeAJob();

            tickAfter(RESPONSE_WAIT_MILLIS);

            assertThat(results).containsExactly(new ClaimAttempt.Result.LogAdvanced(2));
            assertThat(claimCount()).isEqualTo(1);
        }

        @Test
        void withAppendsOfASilentDispatcherIsStillClaimed() {
            attempt(OTHER_CLAIM).run(0, epoch -> {}).join();
            start(SuspicionReason.SILENT, 0);
            storeAJob();

            tickAfter(RESPONSE_WAIT_MILLIS);

            assertThat(results).singleElement().isInstanceOf(ClaimAttempt.Result.Won.class);
            assertThat(claimCount()).isEqualTo(2);
        }
    }

    @Nested
    class LogOutage {
        @Test
        void preventsACandidacy() {
            logHealthyForMillis = 0;
            for (SuspicionReason reason : SuspicionReason.values()) {
                assertThat(candidacy.mayStart(reason, loop.nowMillis())).isFalse();
            }
        }

        /**
         * Guards against incident 21: a live dispatcher was replaced after an outage of the log
         * service.
         */
        @Test
        void leavesTheDispatcherTimeToRecover() {
            logHealthyForMillis = 500;
            assertThat(candidacy.mayStart(SuspicionReason.LOG_FAILS_IT, loop.nowMillis()))
                    .isFalse();
            assertThat(candidacy.mayStart(SuspicionReason.SILENT, loop.nowMillis())).isTrue();
            logHealthyForMillis = 600;
            assertThat(candidacy.mayStart(SuspicionReason.LOG_FAILS_IT, loop.nowMillis())).isTrue();
        }

        @Test
        void pausesTheCandidacy() {
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            start(SuspicionReason.SILENT, 0);
            log.setReadFault(MemoryKeyedLog.Fault.NONE);

            tickAfter(RESPONSE_WAIT_MILLIS);
            assertThat(results).isEmpty();
            assertThat(candidacy.started()).isFalse();
            assertThat(candidacy.mayStart(SuspicionReason.SILENT, loop.nowMillis())).isFalse();

            loop.advance(200);
            assertThat(candidacy.mayStart(SuspicionReason.SILENT, loop.nowMillis())).isTrue();
        }
    }

    @Nested
    class SilentJobLog {
        /**
         * A call of the dispatcher that was sent just before the recovery times out after 900 ms.
         */
        private static final long DISPATCHER_RECOVERY_MILLIS = 1_300;

        private void startAfterOutage(SuspicionReason reason) {
            log.setSilent(JobStore.LOG, true);
            start(reason, 0);
            assertThat(candidacy.started()).isFalse();
            log.setSilent(JobStore.LOG, false);
            loop.advance(200);
            start(reason, 0);
        }

        /**
         * Guards against incident 45: an entry that the rest of the log service served replaced a
         * live dispatcher as soon as the partition of the job log was back.
         */
        @Test
        void leavesTheDispatcherTimeToRecover() {
            startAfterOutage(SuspicionReason.LOG_FAILS_IT);

            tickAfter(DISPATCHER_RECOVERY_MILLIS - 1);
            assertThat(results).isEmpty();

            tickAfter(1);
            assertThat(results).singleElement().isInstanceOf(ClaimAttempt.Result.Won.class);
        }

        @Test
        void delaysNoClaimIfThereIsNoDispatcher() {
            startAfterOutage(SuspicionReason.NO_DISPATCHER);

            tickAfter(RESPONSE_WAIT_MILLIS);
            assertThat(results).singleElement().isInstanceOf(ClaimAttempt.Result.Won.class);
        }
    }

    /** A dispatcher that shuts down works on, and its calls to the log service take long. */
    @Nested
    class LeavingDispatcherOnASlowLog {
        private static final long CALL_MILLIS = 300;

        private final SlowKeyedLog slowLog = new SlowKeyedLog(log, loop, CALL_MILLIS);
        private final DurableWriter writer =
                new DurableWriter(
                        slowLog,
                        JobStore.LOG,
                        0,
                        loop,
                        loop.logServiceContact(),
                        new Metrics(),
                        () -> replaced = true);
        private final Candidacy slowCandidacy =
                new Candidacy(
                        slowLog,
                        new ClaimAttempt(slowLog, OWN_CLAIM, loop.logServiceContact()),
                        () -> logHealthyForMillis,
                        loop.logServiceContact(),
                        loop,
                        epochs::add,
                        results::add);
        private boolean replaced;

        /** Stores the progress of a job, and again once it is stored. */
        private void writeForever() {
            writer.put(JobStore.progressKey("job"), () -> new byte[] {1});
            writer.whenStored(this::writeForever);
            writer.flush();
        }

        @Test
        void isReplacedWithinThreeSeconds() {
            writeForever();
            loop.advance(1_000);
            writer.yieldToClaims();
            slowCandidacy.start(SuspicionReason.LEAVING, loop.nowMillis());
            for (int i = 0; i < 60; i++) {
                loop.advance(50);
                slowCandidacy.claimIfDue(loop.nowMillis(), 0);
            }

            assertThat(results).singleElement().isInstanceOf(ClaimAttempt.Result.Won.class);
            assertThat(replaced).isTrue();
            assertThat(claimCount()).isEqualTo(1);
        }
    }
}
