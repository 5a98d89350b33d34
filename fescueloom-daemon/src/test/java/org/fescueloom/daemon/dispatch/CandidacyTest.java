package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CandidacyTest {
    private static final int ASK_MILLIS = 50;
    private static final int TURN_MILLIS = 300;
    private static final DispatchClaim MINE = new DispatchClaim("mine", "p");
    private static final DispatchClaim OTHER = new DispatchClaim("other", "p");

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final List<ClaimAttempt.Result> results = new ArrayList<>();
    private final List<Long> epochs = new ArrayList<>();
    private long servedForMillis = 10_000;
    private final Candidacy candidacy =
            new Candidacy(
                    log,
                    attempt(MINE),
                    () -> servedForMillis,
                    loop.logServiceContact(),
                    loop,
                    epochs::add,
                    results::add);

    private ClaimAttempt attempt(DispatchClaim claim) {
        return new ClaimAttempt(log, claim, loop.logServiceContact());
    }

    private void begin(SuspicionReason why, int turn) {
        candidacy.start(why, loop.nowMillis(), turn);
        loop.advance(0);
    }

    private void tickAfter(long millis) {
        loop.advance(millis);
        candidacy.tick(loop.nowMillis());
        loop.advance(0);
    }

    private void storeAJob() {
        KeyedRecord job = new KeyedRecord(JobStore.progressKey("job"), new byte[] {1});
        log.append(JobStore.TOPIC, List.of(job), KeyedLog.ANY_END, Duration.ZERO);
    }

    private long claims() {
        return log.records(JobStore.TOPIC).stream()
                .filter(r -> r.key().equals(JobStore.CLAIM_KEY))
                .count();
    }

    @Nested
    class Turns {
        @Test
        void areTakenInTheOrderOfAddresses() {
            List<String> entries = List.of("a", "b", "c");
            assertThat(Candidacy.claimTurn(entries, "", "c")).isEqualTo(2);
            assertThat(Candidacy.claimTurn(entries, "a", "c")).isEqualTo(1);
            assertThat(Candidacy.claimTurn(entries, "c", "a")).isZero();
        }

        @Test
        void areWaitedFor() {
            begin(SuspicionReason.NO_DISPATCHER, 1);

            tickAfter(ASK_MILLIS + TURN_MILLIS - 1);
            assertThat(results).isEmpty();

            tickAfter(1);
            assertThat(results).singleElement().isInstanceOf(ClaimAttempt.Result.Won.class);
        }
    }

    @Nested
    class StoredClaim {
        /** Guards against incident 21: others claimed while the first one still loaded. */
        @Test
        void isToldBeforeAnythingIsLoaded() {
            begin(SuspicionReason.NO_DISPATCHER, 0);
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);

            tickAfter(ASK_MILLIS);

            assertThat(epochs).containsExactly(1L);
            assertThat(results).isEmpty();
            assertThat(candidacy.claiming()).isFalse();
        }
    }

    @Nested
    class TurnsOfEntriesThatAreGone {
        @Test
        void areNotWaitedFor() {
            begin(SuspicionReason.NO_DISPATCHER, 2);
            candidacy.skipTurn();

            tickAfter(ASK_MILLIS + TURN_MILLIS);

            assertThat(results).hasSize(1);
        }

        @Test
        void neverShortenTheTimeInWhichOthersAreAsked() {
            begin(SuspicionReason.NO_DISPATCHER, 0);
            candidacy.skipTurn();

            tickAfter(ASK_MILLIS - 1);

            assertThat(results).isEmpty();
        }
    }

    @Nested
    class LogThatHasMovedOn {
        /** Guards against incident 21: entries replaced each other's dispatcher after a restart. */
        @Test
        void byTheClaimOfAnotherIsFollowed() {
            begin(SuspicionReason.NO_DISPATCHER, 1);
            attempt(OTHER).run(0, epoch -> {}).join();
            storeAJob();

            tickAfter(ASK_MILLIS + TURN_MILLIS);

            assertThat(results).containsExactly(new ClaimAttempt.Result.ClaimedByOther(OTHER, 1));
            assertThat(claims()).isEqualTo(1);
            assertThat(candidacy.started()).isFalse();
        }

        /** Guards against incident 21: a dispatcher that lived was replaced after an outage. */
        @Test
        void byADispatcherThatIsServedAgainEndsTheCandidacy() {
            attempt(OTHER).run(0, epoch -> {}).join();
            begin(SuspicionReason.LOG_FAILS_IT, 0);
            storeAJob();

            tickAfter(ASK_MILLIS);

            assertThat(results).containsExactly(new ClaimAttempt.Result.LogAdvanced(2));
            assertThat(claims()).isEqualTo(1);
        }

        @Test
        void byADispatcherThatNobodyHearsIsClaimedAllTheSame() {
            attempt(OTHER).run(0, epoch -> {}).join();
            begin(SuspicionReason.SILENT, 0);
            storeAJob();

            tickAfter(ASK_MILLIS);

            assertThat(results).singleElement().isInstanceOf(ClaimAttempt.Result.Won.class);
            assertThat(claims()).isEqualTo(2);
        }
    }

    @Nested
    class OutageOfTheLog {
        @Test
        void letsNoCandidacyBegin() {
            servedForMillis = 0;
            for (SuspicionReason why : SuspicionReason.values()) {
                assertThat(candidacy.mayStart(why, loop.nowMillis())).isFalse();
            }
        }

        /** Guards against incident 21: a dispatcher that lived was replaced after an outage. */
        @Test
        void leavesTheDispatcherTimeToNoticeItsEnd() {
            servedForMillis = 500;
            assertThat(candidacy.mayStart(SuspicionReason.LOG_FAILS_IT, loop.nowMillis()))
                    .isFalse();
            assertThat(candidacy.mayStart(SuspicionReason.SILENT, loop.nowMillis())).isTrue();
            servedForMillis = 600;
            assertThat(candidacy.mayStart(SuspicionReason.LOG_FAILS_IT, loop.nowMillis())).isTrue();
        }

        @Test
        void endsACandidacyForAWhile() {
            log.setReadFault(MemoryKeyedLog.Fault.REFUSED);
            begin(SuspicionReason.SILENT, 0);
            log.setReadFault(MemoryKeyedLog.Fault.NONE);

            tickAfter(ASK_MILLIS);
            assertThat(results).isEmpty();
            assertThat(candidacy.started()).isFalse();
            assertThat(candidacy.mayStart(SuspicionReason.SILENT, loop.nowMillis())).isFalse();

            loop.advance(200);
            assertThat(candidacy.mayStart(SuspicionReason.SILENT, loop.nowMillis())).isTrue();
        }
    }
}
